//! Identification of a call's customer and request class.

use ntex::http::HeaderMap;
use oleander_base::prelude::*;
use oleander_records::{ClassRecord, CustomerRecord, RecordSet};

use crate::error::{CallerError, ErrorCode};
use crate::header::{CLASS_HEADER, header_text};

/// The customer and request class of a call.
#[derive(Debug, Clone)]
pub struct CallerIdentity<'a> {
    /// The customer's id.
    pub customer: CustomerId,
    /// The customer's record.
    pub customer_record: &'a CustomerRecord,
    /// The class's id.
    pub class: ClassId,
    /// The class's record.
    pub class_record: &'a ClassRecord,
    /// The tier that applies to this customer and class.
    pub tier: Tier,
}

/// Finds the customer by the API key, and the class by the class header or, without it, as the
/// customer's default class.
pub fn identify<'a>(
    headers: &HeaderMap,
    records: &'a RecordSet,
) -> Result<CallerIdentity<'a>, CallerError> {
    let key = api_key(headers).ok_or_else(|| {
        CallerError::not_run(
            ErrorCode::Unauthorized,
            "no API key: send `Authorization: Bearer KEY`",
        )
    })?;
    let customer = records
        .customer_by_key(key)
        .ok_or_else(|| CallerError::not_run(ErrorCode::Unauthorized, "the API key is not known"))?;
    let customer_record = &records.customers[&customer];
    let name = header_text(headers, CLASS_HEADER).unwrap_or(&customer_record.default_class);
    let class = ClassId::from_name(name);
    let class_record = records.classes.get(&class).ok_or_else(|| {
        let message = format!("request class `{}` does not exist", name.escape_debug());
        CallerError::not_run(ErrorCode::BadRequest, message)
    })?;
    let tier = records.tier(customer, class_record);
    Ok(CallerIdentity {
        customer,
        customer_record,
        class,
        class_record,
        tier,
    })
}

fn api_key(headers: &HeaderMap) -> Option<&str> {
    match header_text(headers, "authorization") {
        Some(value) => value.strip_prefix("Bearer ").map(str::trim),
        None => header_text(headers, "x-api-key"),
    }
}
