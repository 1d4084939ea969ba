//! Reading of single fields: tolerant numbers, and errors that name the field.

use std::fmt;

use serde::de::{self, DeserializeOwned, Deserializer, Visitor};
use serde_json::value::RawValue;

use crate::error::{ConfigurationError, ResultCode};

/// Reads `raw` as a `T`; the error names the field by its path.
pub(crate) fn read<T: DeserializeOwned>(raw: &RawValue) -> Result<T, ConfigurationError> {
    let mut deserializer = serde_json::Deserializer::from_str(raw.get());
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        let at_field = path != ".";
        let error = ConfigurationError::new(ResultCode::BadField, error.inner().to_string());
        match at_field {
            true => error.at_field(&path),
            false => error,
        }
    })
}

/// Reads an optional whole number, also when it is written with a fraction, which is rounded up.
pub(crate) fn whole<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    deserializer.deserialize_any(WholeNumber)
}

/// As [`whole`], for numbers that fit 32 bits; larger ones count as the largest.
pub(crate) fn whole_u32<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u32>, D::Error> {
    let number = whole(deserializer)?;
    Ok(number.map(|number| u32::try_from(number).unwrap_or(u32::MAX)))
}

struct WholeNumber;

impl Visitor<'_> for WholeNumber {
    type Value = Option<u64>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number that is not negative")
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Option<u64>, E> {
        Ok(Some(number))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<Option<u64>, E> {
        match u64::try_from(number) {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(E::invalid_value(de::Unexpected::Signed(number), &self)),
        }
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<Option<u64>, E> {
        if number < 0.0 || !number.is_finite() {
            return Err(E::invalid_value(de::Unexpected::Float(number), &self));
        }
        // The cast saturates, so a number past the range counts as the largest.
        Ok(Some(number.ceil() as u64))
    }

    fn visit_unit<E: de::Error>(self) -> Result<Option<u64>, E> {
        Ok(None)
    }
}
