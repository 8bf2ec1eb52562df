//! What a command prints.

use serde::Serialize;
use serde_json::Value;

use crate::{CliError, Exit};

/// The result of a command, for people and for scripts.
#[derive(Debug)]
pub struct Output {
    text: String,
    value: Value,
    exit: Exit,
}

impl Output {
    /// A result that is done.
    pub(crate) fn new(text: impl Into<String>, value: &impl Serialize) -> Result<Self, CliError> {
        let value =
            serde_json::to_value(value).map_err(|e| CliError::InvalidAnswer(e.to_string()))?;
        Ok(Self {
            text: text.into(),
            value,
            exit: Exit::Done,
        })
    }

    /// Ends with another status.
    pub(crate) fn with_exit(mut self, exit: Exit) -> Self {
        self.exit = exit;
        self
    }

    /// The text for standard output.
    pub fn render(&self, json: bool) -> String {
        match json {
            true => format!("{:#}", self.value),
            false => self.text.trim_end().to_owned(),
        }
    }

    /// The exit status.
    pub fn exit(&self) -> Exit {
        self.exit
    }
}
