//! Days of our own for a deployment: every kind of trouble, each variant, in the forms that hurt most.
//!
//! A site file of the bench is read, its days are replaced by drawn ones and the copy is written to a scratch folder;
//! the bench plays it as any other site. The catalogue says which kinds there are and how strong they are drawn, the
//! form says where in a day a trouble stands: alone, twice, beside another one, at the start, during a change of the
//! configuration, during the return of a core machine, or right before the final fault. The table reads the journal's
//! entries of such plays and tells what came of each kind and variant.

mod catalogue;
mod day;
mod draw;
mod lost;
mod reports;
mod site;
mod table;

pub use catalogue::{catalogue, Section, Trouble};
pub use day::{Day, Entry};
pub use draw::{draw, each, Form};
pub use lost::{Cause, LostRequest, LostRequests};
pub use reports::{Pairs, ReportError};
pub use site::{Site, SiteError};
pub use table::{Played, Table, TableError};
