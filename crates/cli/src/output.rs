//! Output of a command.

use serde::Serialize;
use serde_json::Value;

use crate::{CliError, Exit};

/// The result of a command as text and as JSON, with the exit status.
#[derive(Debug)]
pub struct Output {
    text: String,
    value: Value,
    exit: Exit,
}

impl Output {
    /// Creates an output with the exit status [`Exit::Done`].
    pub(crate) fn new(text: impl Into<String>, value: &impl Serialize) -> Result<Self, CliError> {
        let value =
            serde_json::to_value(value).map_err(|e| CliError::InvalidAnswer(e.to_string()))?;
        Ok(Self {
            text: text.into(),
            value,
            exit: Exit::Done,
        })
    }

    /// Sets the exit status.
    pub(crate) fn with_exit(mut self, exit: Exit) -> Self {
        self.exit = exit;
        self
    }

    /// Returns the text for standard output: JSON if `json` is set, else readable text.
    pub fn render(&self, json: bool) -> String {
        match json {
            true => format!("{:#}", self.value),
            false => self.text.trim_end().to_owned(),
        }
    }

    /// Returns the exit status of the process.
    pub fn exit(&self) -> Exit {
        self.exit
    }
}
