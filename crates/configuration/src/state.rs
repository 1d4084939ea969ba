//! The value of the register: the configuration, the orders taken, and the placer's grant.

use crate::change::Change;
use crate::document::Document;
use crate::error::{ConfigurationError, ResultCode};
use crate::memory_limit::MemoryLimit;
use crate::order::{Order, OrderKind};

/// How many of the newest orders taken are remembered: several times the changes of a long day.
pub const TAKEN_ORDERS_KEPT: usize = 4_096;

/// An order that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakenOrder {
    /// The revision that it led to.
    pub revision: u64,
    /// The order's digest.
    pub digest: u128,
}

/// Who may give placement orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacerGrant {
    /// The node.
    pub holder: String,
    /// The epoch, which workers check as a fencing token.
    pub epoch: u64,
}

/// The value of the register.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlState {
    /// The configuration in force.
    pub document: Option<Document>,
    /// The newest orders taken, the oldest first.
    pub taken: Vec<TakenOrder>,
    /// The highest revision that an order led to which is no longer in `taken`; 0 if all are.
    pub forgotten_up_to: u64,
    /// The newest placer.
    pub placer: Option<PlacerGrant>,
    /// The highest epoch granted so far.
    pub next_epoch: u64,
}

/// What becomes of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The same order was taken before and led to this revision.
    TakenBefore {
        /// The revision it led to.
        revision: u64,
    },
    /// The order is not taken, and never was.
    Refused(ConfigurationError),
    /// The order does not fit the current revision, but it is so old that it may have been taken once.
    Forgotten,
    /// The order is taken if this state becomes the register's value.
    Take(Box<ControlState>),
}

impl ControlState {
    /// The revision of the configuration in force; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.document.as_ref().map_or(0, Document::revision)
    }

    /// As [`ControlState::decide_within`], for a configuration of any size.
    pub fn decide(&self, order: &Order) -> Decision {
        self.decide_within(order, MemoryLimit::NONE)
    }

    /// Decides on an order: the same again, unreadable, on another base, not above, not valid, too large, taken.
    pub fn decide_within(&self, order: &Order, limit: MemoryLimit) -> Decision {
        let digest = order.digest();
        if let Some(taken) = self.taken.iter().rev().find(|taken| taken.digest == digest) {
            return Decision::TakenBefore { revision: taken.revision };
        }
        let result = self
            .result_of(order)
            .and_then(|document| limit.check(self.document.as_ref(), &document).map(|()| document));
        match result {
            Ok(document) => Decision::Take(Box::new(self.with_document(document, digest))),
            Err(error) if error.code == ResultCode::OrderForgotten => Decision::Forgotten,
            Err(error) => Decision::Refused(error),
        }
    }

    /// The state after a grant to `holder` under an epoch above all earlier ones.
    pub fn grant_placer(&self, holder: &str) -> ControlState {
        let epoch = self.next_epoch + 1;
        let placer = Some(PlacerGrant { holder: holder.to_owned(), epoch });
        ControlState { placer, next_epoch: epoch, ..self.clone() }
    }

    fn result_of(&self, order: &Order) -> Result<Document, ConfigurationError> {
        match order.kind {
            OrderKind::Replace => {
                let document = Document::read(&order.body).map_err(|error| located(error, order))?;
                let fits = self.check_versions(order.base_version, document.revision());
                if fits.as_ref().is_err_and(|error| error.code != ResultCode::OrderForgotten) {
                    return fits.map(|()| document);
                }
                // What is invalid by itself was never taken, however old it is.
                let document = document.checked().map_err(|error| located(error, order))?;
                fits.map(|()| document)
            }
            OrderKind::Update => {
                let change = Change::parse(&order.body)?;
                self.check_versions(order.base_version, change.revision())?;
                match &self.document {
                    Some(document) => document.apply(&change),
                    None => change.apply_to_nothing(),
                }
            }
        }
    }

    fn check_versions(&self, base: u64, revision: u64) -> Result<(), ConfigurationError> {
        let current = self.revision();
        if base != current && base < revision && revision <= self.forgotten_up_to {
            let detail = format!("orders up to {} are forgotten", self.forgotten_up_to);
            return Err(ConfigurationError::new(ResultCode::OrderForgotten, detail));
        }
        if base != current {
            let detail = format!("the order builds on {base}, current is {current}");
            return Err(ConfigurationError::new(ResultCode::BaseVersionDiffers, detail));
        }
        if revision <= current {
            let detail = format!("the revision is {revision}, current is {current}");
            return Err(ConfigurationError::new(ResultCode::RevisionNotAbove, detail).at_field("revision"));
        }
        Ok(())
    }

    fn with_document(&self, document: Document, digest: u128) -> ControlState {
        let surplus = (self.taken.len() + 1).saturating_sub(TAKEN_ORDERS_KEPT);
        let (forgotten, kept) = self.taken.split_at(surplus);
        let newest_forgotten = forgotten.last().map_or(0, |taken| taken.revision);
        let mut taken = kept.to_vec();
        taken.push(TakenOrder { revision: document.revision(), digest });
        ControlState {
            document: Some(document),
            taken,
            forgotten_up_to: self.forgotten_up_to.max(newest_forgotten),
            placer: self.placer.clone(),
            next_epoch: self.next_epoch,
        }
    }
}

fn located(error: ConfigurationError, order: &Order) -> ConfigurationError {
    crate::members::located(error, &order.body)
}
