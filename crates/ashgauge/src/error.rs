//! The error type of this crate.

use std::fmt;

/// Alias for a `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error of this crate; its message says how to fix the cause.
pub struct Error {
    code: Box<ErrorKind>,
}

/// Broad category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The table or one of its cells is invalid.
    Table,
    /// Another edit changed the same cell first.
    Conflict,
    /// Stored data could not be decoded.
    Data,
}

pub(crate) enum ErrorKind {
    UnknownRow {
        row: String,
    },
    UnknownColumn {
        row: String,
        column: String,
    },
    BadCell {
        row: String,
        column: String,
        expected: &'static str,
    },
    MissingCell {
        row: String,
        column: &'static str,
    },
    DanglingRef {
        row: String,
        column: &'static str,
        target: String,
    },
    Conflict {
        row: String,
        column: String,
        value: String,
        who: String,
    },
    Decode {
        what: &'static str,
        cause: String,
    },
}

impl Error {
    pub(crate) fn new(code: ErrorKind) -> Self {
        Error {
            code: Box::new(code),
        }
    }

    /// Returns the category of this error.
    pub fn classify(&self) -> Category {
        match *self.code {
            ErrorKind::Conflict { .. } => Category::Conflict,
            ErrorKind::Decode { .. } => Category::Data,
            _ => Category::Table,
        }
    }

    /// Returns whether another edit changed the same cell first.
    pub fn is_conflict(&self) -> bool {
        self.classify() == Category::Conflict
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*self.code {
            ErrorKind::UnknownRow { row } => write!(
                f,
                "unknown row kind in `{row}`; name it team/NAME, tier/NAME, route/NAME or upstream/NAME"
            ),
            ErrorKind::UnknownColumn { row, column } => write!(
                f,
                "row `{row}` has no column `{column}`; `ashctl columns` lists them"
            ),
            ErrorKind::BadCell {
                row,
                column,
                expected: need,
            } => {
                write!(f, "cell {row}:{column} is not valid; it must be {need}")
            }
            ErrorKind::MissingCell { row, column } => {
                write!(
                    f,
                    "row `{row}` lacks column `{column}`; set it in the same edit"
                )
            }
            ErrorKind::DanglingRef {
                row,
                column,
                target,
            } => write!(
                f,
                "cell {row}:{column} names `{target}`, which is no row; add that row or name another"
            ),
            ErrorKind::Conflict {
                row,
                column,
                value,
                who,
            } => write!(
                f,
                "cell {row}:{column} was set to {value} by {who} after you read it; read the table again and repeat the edit if you still want it"
            ),
            ErrorKind::Decode { what, cause } => {
                write!(
                    f,
                    "{what} could not be decoded ({cause}); restore an earlier version of the object"
                )
            }
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?})", self.to_string())
    }
}

impl std::error::Error for Error {}
