//! The `oleanderctl record` command, which reads and changes records.

use std::io::Read;
use std::path::Path;

use clap::ArgMatches;
use oleander_operator::{RecordChange, RecordLine};
use oleander_records::{RecordDocument, RecordKind, SchemaCatalog, parse_document};
use serde_json::{Map, Value};

use crate::change::apply_change;
use crate::endpoint::{EndpointOptions, RecordEndpoint, first_reachable};
use crate::failure::CommandFailure;
use crate::output::{Output, TextTable};

/// Runs the chosen subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    let options = EndpointOptions::read(matches);
    let output = Output::read(matches);
    match name {
        "put" => put(matches, &options, output),
        "get" => get(matches, &options, output),
        "list" => list(matches, &options, output),
        "delete" => delete(matches, &options, output),
        "edit" => edit(matches, &options, output),
        "check" => check(matches, &options),
        "watch" => crate::watch::run(matches, &options, output),
        _ => unreachable!("clap requires a known subcommand"),
    }
}

type Endpoints = Vec<Box<dyn RecordEndpoint>>;

/// Reads the records at the first endpoint that can be reached, and returns them with that
/// endpoint and those after it.
fn read_records(options: &EndpointOptions) -> Result<(Endpoints, Vec<RecordLine>), CommandFailure> {
    let mut endpoints = options.record_endpoints()?;
    let (index, lines) = first_reachable(&endpoints, |endpoint| endpoint.records())?;
    endpoints.drain(..index);
    Ok((endpoints, lines))
}

/// Returns the text of an argument that clap requires.
pub(crate) fn text_arg<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches
        .get_one::<String>(name)
        .expect("clap requires the argument")
}

/// Returns the record of the given kind and name, or none.
pub(crate) fn find_record<'a>(
    lines: &'a [RecordLine],
    kind: &str,
    name: &str,
) -> Option<&'a RecordLine> {
    lines
        .iter()
        .find(|line| line.kind == kind && line.name == name)
}

fn put(
    matches: &ArgMatches,
    options: &EndpointOptions,
    output: Output,
) -> Result<(), CommandFailure> {
    let (document, text) = read_document(matches)?;
    let key = &document.key;
    let (endpoints, lines) = read_records(options)?;
    let current_revision =
        find_record(&lines, key.kind.as_str(), &key.name).map(|line| line.revision);
    let given = matches.get_one::<u64>("expected").copied();
    let change = RecordChange {
        kind: key.kind.to_string(),
        name: key.name.clone(),
        expected: match given {
            Some(0) => None,
            Some(revision) => Some(revision),
            None => current_revision,
        },
        document: Some(text),
    };
    apply_change(&endpoints, &change)?.print(output)
}

fn delete(
    matches: &ArgMatches,
    options: &EndpointOptions,
    output: Output,
) -> Result<(), CommandFailure> {
    let (kind, name) = (text_arg(matches, "kind"), text_arg(matches, "name"));
    let (endpoints, lines) = read_records(options)?;
    let line = find_record(&lines, kind, name).ok_or_else(|| not_found(kind, name))?;
    let given = matches.get_one::<u64>("expected").copied();
    let change = RecordChange {
        kind: kind.to_owned(),
        name: name.to_owned(),
        expected: Some(given.unwrap_or(line.revision)),
        document: None,
    };
    apply_change(&endpoints, &change)?.print(output)
}

fn edit(
    matches: &ArgMatches,
    options: &EndpointOptions,
    output: Output,
) -> Result<(), CommandFailure> {
    let (kind, name) = (text_arg(matches, "kind"), text_arg(matches, "name"));
    let fields = matches
        .get_many::<String>("field")
        .expect("clap requires the argument");
    let changes = read_fields(fields)?;
    let (endpoints, lines) = read_records(options)?;
    let line = find_record(&lines, kind, name).ok_or_else(|| not_found(kind, name))?;
    let current = parse(kind, &line.document)?;
    let edited = current
        .edited(&SchemaCatalog::current(), &changes)
        .map_err(|error| CommandFailure::Input(error.to_string()))?;
    let change = RecordChange {
        kind: kind.to_owned(),
        name: name.to_owned(),
        expected: Some(line.revision),
        document: Some(edited.to_json()),
    };
    apply_change(&endpoints, &change)?.print(output)
}

fn check(matches: &ArgMatches, options: &EndpointOptions) -> Result<(), CommandFailure> {
    let (document, text) = read_document(matches)?;
    let unknown = document.unknown_fields(&SchemaCatalog::current());
    if !unknown.is_empty() {
        let message = format!(
            "{}: {} schema {} has no field {}; `oleanderctl schema {}` lists the fields",
            document.key,
            document.key.kind,
            document.version,
            unknown.join(", "),
            document.key.kind,
        );
        return Err(CommandFailure::Input(message));
    }
    if options.entries.is_empty() && options.platform.is_none() {
        println!(
            "{}: the document is valid; it was not compared with the records in force",
            document.key
        );
        return Ok(());
    }
    let (endpoints, lines) = read_records(options)?;
    let line = find_record(&lines, document.key.kind.as_str(), &document.key.name);
    let change = RecordChange {
        kind: document.key.kind.to_string(),
        name: document.key.name.clone(),
        expected: line.map(|line| line.revision),
        document: Some(text),
    };
    endpoints[0].check(&change)?;
    println!("{}: valid at {}", document.key, endpoints[0].name());
    Ok(())
}

fn get(
    matches: &ArgMatches,
    options: &EndpointOptions,
    output: Output,
) -> Result<(), CommandFailure> {
    let (kind, name) = (text_arg(matches, "kind"), text_arg(matches, "name"));
    let (_, lines) = read_records(options)?;
    let line = find_record(&lines, kind, name).ok_or_else(|| not_found(kind, name))?;
    match output {
        Output::Json => println!("{}", json_line(line)),
        Output::Table => {
            println!("# {kind}/{name} at revision {}", line.revision);
            print!("{}", parse(kind, &line.document)?.to_toml());
        }
    }
    Ok(())
}

fn list(
    matches: &ArgMatches,
    options: &EndpointOptions,
    output: Output,
) -> Result<(), CommandFailure> {
    let kind = matches.get_one::<String>("kind");
    let (_, mut lines) = read_records(options)?;
    lines.retain(|line| kind.is_none_or(|kind| line.kind == *kind));
    match output {
        Output::Json => {
            let lines: Vec<Value> = lines.iter().map(json_line).collect();
            println!("{}", Value::Array(lines));
        }
        Output::Table => {
            let mut table = TextTable::new(&["kind", "name", "revision"]);
            for line in &lines {
                table.add_row([
                    line.kind.clone(),
                    line.name.clone(),
                    line.revision.to_string(),
                ]);
            }
            print!("{table}");
        }
    }
    Ok(())
}

fn json_line(line: &RecordLine) -> Value {
    let document: Value = serde_json::from_str(&line.document).unwrap_or_default();
    serde_json::json!({
        "kind": line.kind, "name": line.name, "revision": line.revision, "document": document,
    })
}

fn not_found(kind: &str, name: &str) -> CommandFailure {
    CommandFailure::NotFound(format!("record {kind}/{name}"))
}

fn parse(kind: &str, text: &str) -> Result<RecordDocument, CommandFailure> {
    let kind: RecordKind = kind
        .parse()
        .map_err(|error| CommandFailure::Input(format!("{error}")))?;
    parse_document(kind, text.as_bytes()).map_err(|error| CommandFailure::Input(error.to_string()))
}

/// Parses `FIELD=VALUE` pairs. A value that is not valid JSON is taken as text, and an empty
/// value removes the field.
fn read_fields<'a>(
    pairs: impl Iterator<Item = &'a String>,
) -> Result<Map<String, Value>, CommandFailure> {
    pairs
        .map(|pair| {
            let (name, value) = pair.split_once('=').ok_or_else(|| {
                CommandFailure::Input(format!("`{pair}` is not of the form FIELD=VALUE"))
            })?;
            let value = match value {
                "" => Value::Null,
                value => serde_json::from_str(value).unwrap_or_else(|_| value.into()),
            };
            Ok((name.to_owned(), value))
        })
        .collect()
}

/// Reads and parses the document; its kind is that of the `--kind` option or, without it, that
/// of the file's name or directory.
fn read_document(matches: &ArgMatches) -> Result<(RecordDocument, String), CommandFailure> {
    let file = text_arg(matches, "file");
    let text = read_file(file)?;
    let given = matches.get_one::<String>("kind").cloned();
    let found = match given {
        Some(kind) => Some(kind),
        None => kind_of_file(file),
    };
    let Some(kind) = found else {
        let message = "say the kind with --kind, or name the file KIND.NAME.toml";
        return Err(CommandFailure::Input(message.to_owned()));
    };
    let document = parse(&kind, &text)
        .map_err(|failure| CommandFailure::Input(format!("{file}: {failure}")))?;
    Ok((document, text))
}

/// Returns the kind named by the first word of a file's name or by its directory.
fn kind_of_file(file: &str) -> Option<String> {
    let path = Path::new(file);
    let first_word = path.file_name()?.to_str()?.split('.').next()?;
    let directory = path.parent().and_then(Path::file_name);
    let directory = directory.and_then(|name| name.to_str());
    [Some(first_word), directory]
        .into_iter()
        .flatten()
        .find(|word| word.parse::<RecordKind>().is_ok())
        .map(str::to_owned)
}

fn read_file(file: &str) -> Result<String, CommandFailure> {
    let mut text = String::new();
    let read = match file {
        "-" => std::io::stdin().read_to_string(&mut text).map(drop),
        file => std::fs::read_to_string(file).map(|content| text = content),
    };
    read.map_err(|error| CommandFailure::Input(format!("{file}: {error}")))?;
    Ok(text)
}
