//! The schema tables of every kind and version.

use crate::key::RecordKind;
use crate::schema::{FieldForm, FieldNeed, FieldSchema, RecordSchema};

use FieldNeed::{Default, Optional, Required};

/// The largest target or timeout of a class, in milliseconds: one day.
const MAX_TIME_MS: u64 = 86_400_000;
/// The largest number of slots of one backend server.
const MAX_SLOTS: u64 = 100_000;
/// The largest weight, speed or rate (requests per second).
const MAX_WEIGHT: f64 = 1_000_000.0;

const WEIGHT: FieldForm = FieldForm::Number {
    low: 0.0,
    high: MAX_WEIGHT,
    above: true,
};

const fn field(
    name: &'static str,
    form: FieldForm,
    unit: &'static str,
    need: FieldNeed,
    doc: &'static str,
) -> FieldSchema {
    FieldSchema {
        name,
        form,
        unit,
        need,
        doc,
    }
}

const NAME: FieldSchema = field(
    "name",
    FieldForm::Name,
    "",
    Required,
    "The name, which is also the last part of the key.",
);
const KEY_HASHES: FieldSchema = field(
    "key_hashes",
    FieldForm::HashList,
    "",
    Default("[]"),
    "The SHA-256 hashes of the customer's API keys.",
);
const SHARE: FieldSchema = field(
    "share",
    WEIGHT,
    "",
    Required,
    "The weight inside a tier against the other customers.",
);
const RATE_LIMIT: FieldSchema = field(
    "rate_limit",
    WEIGHT,
    "requests/s",
    Optional,
    "The most requests a second over the whole fleet; without it there is no limit.",
);
const DEFAULT_CLASS: FieldSchema = field(
    "default_class",
    FieldForm::Name,
    "",
    Required,
    "The request class of a request that names none.",
);
const CONCURRENCY_LIMIT: FieldSchema = field(
    "concurrency_limit",
    FieldForm::Whole {
        low: 1,
        high: u32::MAX as u64,
    },
    "requests",
    Optional,
    "The most requests at a time over the whole fleet; without it there is no limit.",
);

const TIER: FieldSchema = field(
    "tier",
    FieldForm::Whole { low: 0, high: 15 },
    "",
    Required,
    "The tier; 0 is the highest.",
);
const FIRST_TOKEN_TARGET: FieldSchema = field(
    "first_token_target_ms",
    FieldForm::Whole {
        low: 1,
        high: MAX_TIME_MS,
    },
    "ms",
    Required,
    "The target for the first token, or for the whole answer of a plain service.",
);
const PATIENCE: FieldSchema = field(
    "patience_ms",
    FieldForm::Whole {
        low: 1,
        high: MAX_TIME_MS,
    },
    "ms",
    Default("30000"),
    "How long a request may wait before it is given up.",
);
const GOODPUT_WEIGHT: FieldSchema = field(
    "goodput_weight",
    WEIGHT,
    "",
    Default("1.0"),
    "The weight of one completed request in goodput.",
);
const TOKEN_GAP_TARGET: FieldSchema = field(
    "token_gap_target_ms",
    FieldForm::Whole {
        low: 1,
        high: MAX_TIME_MS,
    },
    "ms",
    Default("100"),
    "The target for the time between tokens.",
);
const MINIMUM_SHARE: FieldSchema = field(
    "minimum_share",
    FieldForm::Number {
        low: 0.0,
        high: 0.5,
        above: false,
    },
    "",
    Default("0.02"),
    "The smallest share of a saturated pool's slots that the class gets.",
);

const WANTED: &[FieldSchema] = &[
    field(
        "model",
        FieldForm::Text,
        "",
        Required,
        "The model's public name.",
    ),
    field(
        "version",
        FieldForm::Text,
        "",
        Required,
        "The version of the weights.",
    ),
    field(
        "adapters",
        FieldForm::NameList,
        "",
        Default("[]"),
        "The adapters that must be loaded.",
    ),
    field(
        "role",
        FieldForm::Choice(&["full", "prefill", "decode"]),
        "",
        Default("\"full\""),
        "The part of the work that the engine takes on.",
    ),
];

const ROUTES: &[FieldSchema] = &[
    field(
        "method",
        FieldForm::Choice(&["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
        "",
        Required,
        "The HTTP method.",
    ),
    field(
        "path",
        FieldForm::Text,
        "",
        Required,
        "The path below the service's prefix; a trailing `*` matches any rest.",
    ),
    field(
        "idempotent",
        FieldForm::Flag,
        "",
        Default("false"),
        "Whether a repeat has no further effect.",
    ),
];

const BACKEND: &[FieldSchema] = &[
    NAME,
    field(
        "kind",
        FieldForm::Choice(&["engine", "service"]),
        "",
        Required,
        "A model engine or a plain service.",
    ),
    field("centre", FieldForm::Name, "", Required, "The data centre."),
    field(
        "address",
        FieldForm::Address,
        "",
        Required,
        "The HTTP address.",
    ),
    field(
        "serves",
        FieldForm::NameList,
        "",
        Required,
        "The public model names of an engine, or the one name of a plain service.",
    ),
    field(
        "slots",
        FieldForm::Whole {
            low: 1,
            high: MAX_SLOTS,
        },
        "requests",
        Required,
        "The most requests in flight there, of all entry VMs.",
    ),
    field(
        "speed",
        WEIGHT,
        "",
        Default("1.0"),
        "The speed against the others; 1 is the reference.",
    ),
    field(
        "checks_fencing",
        FieldForm::Flag,
        "",
        Default("false"),
        "Whether the engine refuses an order with an old fencing number.",
    ),
    field(
        "wanted",
        FieldForm::Group(WANTED),
        "",
        Optional,
        "What the engine should have in memory, if the system is to see to it.",
    ),
    field(
        "routes",
        FieldForm::GroupList(ROUTES),
        "",
        Default("[]"),
        "The routes of a plain service; a route that is not listed is not idempotent.",
    ),
];

const PRIORITY: &[FieldSchema] = &[
    NAME,
    field(
        "customer",
        FieldForm::Name,
        "",
        Optional,
        "The customer; without it the priority holds for all of them.",
    ),
    field("class", FieldForm::Name, "", Required, "The request class."),
    TIER,
];

const STOP: &[FieldSchema] = &[
    NAME,
    field(
        "target",
        FieldForm::Group(&[
            field(
                "kind",
                FieldForm::Choice(&["backend", "entry", "centre"]),
                "",
                Required,
                "What stops.",
            ),
            field(
                "name",
                FieldForm::Text,
                "",
                Required,
                "The name of the backend server or data centre, or the entry VM's peer address.",
            ),
        ]),
        "",
        Required,
        "What stops.",
    ),
    field(
        "reason",
        FieldForm::Text,
        "",
        Default("\"\""),
        "Why, for the screens.",
    ),
];

const fn schema(kind: RecordKind, version: u32, fields: &'static [FieldSchema]) -> RecordSchema {
    RecordSchema {
        kind,
        version,
        fields,
    }
}

/// All schemas, one for each kind and version.
pub(crate) const SCHEMAS: &[RecordSchema] = &[
    schema(
        RecordKind::Customer,
        1,
        &[NAME, KEY_HASHES, SHARE, RATE_LIMIT, DEFAULT_CLASS],
    ),
    schema(
        RecordKind::Customer,
        2,
        &[
            NAME,
            KEY_HASHES,
            SHARE,
            RATE_LIMIT,
            CONCURRENCY_LIMIT,
            DEFAULT_CLASS,
        ],
    ),
    schema(
        RecordKind::Class,
        1,
        &[NAME, TIER, FIRST_TOKEN_TARGET, PATIENCE, GOODPUT_WEIGHT],
    ),
    schema(
        RecordKind::Class,
        2,
        &[
            NAME,
            TIER,
            FIRST_TOKEN_TARGET,
            TOKEN_GAP_TARGET,
            PATIENCE,
            GOODPUT_WEIGHT,
            MINIMUM_SHARE,
        ],
    ),
    schema(RecordKind::Priority, 1, PRIORITY),
    schema(RecordKind::Backend, 1, BACKEND),
    schema(RecordKind::Stop, 1, STOP),
];
