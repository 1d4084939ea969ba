//! Numbered result codes and the error that names what is wrong with a configuration.

use std::fmt;

/// The outcome of an order, by a number that stays the same in all editions.
///
/// 1000 to 1099: the order is invalid. 1100 to 1199: it does not fit the current configuration. 2000 to
/// 2099: it is in force. 3000 to 3099: nothing was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResultCode {
    /// The body is not a whole JSON object.
    Unreadable,
    /// A route names a service that the configuration does not have.
    UnknownService,
    /// Two routes have the same host and path prefix.
    SharedPlace,
    /// The weights of a route's backends add up to 0, or it has no backend.
    NoWeight,
    /// The `timeoutMs` of a route is 0.
    NoTimeout,
    /// Two items of a list have the same name.
    DuplicateName,
    /// The path prefix of a route does not begin and end with a slash.
    BadPathPrefix,
    /// A field is missing, or its value is of the wrong type or out of its range.
    BadField,
    /// The revision is missing or is not a whole number.
    BadRevision,
    /// The version the order builds on is missing or is not a whole number.
    BadBaseVersion,
    /// The configuration would take more memory than core machines have for it.
    TooLarge,
    /// Another version than the one the order builds on is current.
    BaseVersionDiffers,
    /// The revision is not above the current one.
    RevisionNotAbove,
    /// The order is taken.
    Taken,
    /// The very same order was taken before.
    TakenBefore,
    /// This node has no contact with a quorum; the order was not proposed.
    NoQuorum,
    /// The order was proposed, and whether it is taken is not known.
    OutcomeUnknown,
    /// No configuration has been taken yet.
    NoConfiguration,
    /// The order is older than the orders that are remembered.
    OrderForgotten,
    /// This node has too many orders in hand; the order was not proposed.
    TooManyOrders,
    /// This node is about to end; the order was not proposed.
    Leaving,
}

impl ResultCode {
    /// All codes, in the order of their numbers.
    pub const ALL: [ResultCode; 21] = [
        ResultCode::Unreadable,
        ResultCode::UnknownService,
        ResultCode::SharedPlace,
        ResultCode::NoWeight,
        ResultCode::NoTimeout,
        ResultCode::DuplicateName,
        ResultCode::BadPathPrefix,
        ResultCode::BadField,
        ResultCode::BadRevision,
        ResultCode::BadBaseVersion,
        ResultCode::TooLarge,
        ResultCode::BaseVersionDiffers,
        ResultCode::RevisionNotAbove,
        ResultCode::Taken,
        ResultCode::TakenBefore,
        ResultCode::NoQuorum,
        ResultCode::OutcomeUnknown,
        ResultCode::NoConfiguration,
        ResultCode::OrderForgotten,
        ResultCode::TooManyOrders,
        ResultCode::Leaving,
    ];

    /// The number of the code.
    pub fn number(self) -> u16 {
        match self {
            ResultCode::Unreadable => 1000,
            ResultCode::UnknownService => 1001,
            ResultCode::SharedPlace => 1002,
            ResultCode::NoWeight => 1003,
            ResultCode::NoTimeout => 1004,
            ResultCode::DuplicateName => 1005,
            ResultCode::BadPathPrefix => 1006,
            ResultCode::BadField => 1007,
            ResultCode::BadRevision => 1008,
            ResultCode::BadBaseVersion => 1009,
            ResultCode::TooLarge => 1010,
            ResultCode::BaseVersionDiffers => 1100,
            ResultCode::RevisionNotAbove => 1101,
            ResultCode::Taken => 2000,
            ResultCode::TakenBefore => 2001,
            ResultCode::NoQuorum => 3000,
            ResultCode::OutcomeUnknown => 3001,
            ResultCode::NoConfiguration => 3002,
            ResultCode::OrderForgotten => 3003,
            ResultCode::TooManyOrders => 3004,
            ResultCode::Leaving => 3005,
        }
    }

    /// The status of the HTTP answer that carries the code.
    pub fn http_status(self) -> u16 {
        match self {
            ResultCode::Taken | ResultCode::TakenBefore => 200,
            ResultCode::BaseVersionDiffers => 412,
            ResultCode::TooLarge => 413,
            ResultCode::NoQuorum
            | ResultCode::NoConfiguration
            | ResultCode::OrderForgotten
            | ResultCode::TooManyOrders
            | ResultCode::Leaving => 503,
            ResultCode::OutcomeUnknown => 504,
            _ => 400,
        }
    }

    /// One line for the operator.
    pub fn meaning(self) -> &'static str {
        match self {
            ResultCode::Unreadable => "the body is not a whole JSON object",
            ResultCode::UnknownService => "a route names an unknown service",
            ResultCode::SharedPlace => "two routes have the same host and path prefix",
            ResultCode::NoWeight => "the weights of a route add up to 0",
            ResultCode::NoTimeout => "the `timeoutMs` of a route is 0",
            ResultCode::DuplicateName => "two items of a list have the same name",
            ResultCode::BadPathPrefix => "a path prefix does not begin and end with a slash",
            ResultCode::BadField => "a field is missing, of the wrong type or out of range",
            ResultCode::BadRevision => "the revision is missing or not a whole number",
            ResultCode::BadBaseVersion => "`Base-Version` is missing or not a whole number",
            ResultCode::TooLarge => "the configuration would be too large",
            ResultCode::BaseVersionDiffers => "another version than `Base-Version` is current",
            ResultCode::RevisionNotAbove => "the revision is not above the current one",
            ResultCode::Taken => "the order is taken",
            ResultCode::TakenBefore => "the very same order was taken before",
            ResultCode::NoQuorum => "this node has no contact with a quorum; nothing was proposed",
            ResultCode::OutcomeUnknown => "whether the order is taken is not known; send it again",
            ResultCode::NoConfiguration => "no configuration has been taken yet",
            ResultCode::OrderForgotten => "the order is too old to tell whether it was taken",
            ResultCode::TooManyOrders => "too many orders wait at this node; nothing was proposed",
            ResultCode::Leaving => "this node is about to end; nothing was proposed",
        }
    }

    /// The body of an answer that gives this code and no revision.
    pub fn answer(self, detail: &str) -> String {
        let error = format!("{}: {}: {detail}", self.number(), self.meaning());
        serde_json::json!({ "code": self.number(), "error": error }).to_string()
    }

    /// The body of an answer that acknowledges an order, which led to `revision`.
    pub fn acknowledgement(self, revision: u64) -> String {
        serde_json::json!({ "code": self.number(), "revision": revision }).to_string()
    }
}

/// What is wrong with a configuration or a change, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ConfigurationError {
    /// What kind of fault it is.
    pub code: ResultCode,
    /// The list that holds the item, such as `routes`.
    pub list: Option<String>,
    /// The name of the item.
    pub item: Option<String>,
    /// The field, by its name in the text.
    pub field: Option<String>,
    /// The line of the body, from 1, where the item or the fault stands.
    pub line: Option<usize>,
    /// What was found.
    pub detail: String,
}

impl ConfigurationError {
    /// An error of the whole body.
    pub fn new(code: ResultCode, detail: impl Into<String>) -> ConfigurationError {
        ConfigurationError { code, list: None, item: None, field: None, line: None, detail: detail.into() }
    }

    /// The body of the answer that refuses an order for this error.
    pub fn answer(&self) -> String {
        serde_json::json!({ "code": self.code.number(), "error": self.to_string() }).to_string()
    }

    /// The same error at a named item of a list.
    pub(crate) fn at_item(mut self, list: &str, item: &str) -> ConfigurationError {
        self.list = Some(list.to_owned());
        self.item = Some(item.to_owned());
        self
    }

    /// The same error at a field.
    pub(crate) fn at_field(mut self, field: &str) -> ConfigurationError {
        self.field = Some(field.to_owned());
        self
    }
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.code.number(), self.code.meaning())?;
        if let Some(list) = &self.list {
            write!(formatter, ", in {list}")?;
        }
        if let Some(item) = &self.item {
            write!(formatter, ", item {item:?}")?;
        }
        if let Some(field) = &self.field {
            write!(formatter, ", field {field}")?;
        }
        if let Some(line) = self.line {
            write!(formatter, ", line {line}")?;
        }
        write!(formatter, ": {}", self.detail)
    }
}
