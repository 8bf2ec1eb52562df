//! Numbered result codes; the table for readers is `docs/CODES.md`.

use std::fmt;

use crate::Ran;

/// Declares the codes once: variant, number, HTTP status, run state, text.
macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $ran:ident, $text:literal;)*) => {
        /// A numbered result.
        ///
        /// Numbers are stable: a retired one is not given to another meaning.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// Every code, in order of its number.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// HTTP status that carries this code.
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// Whether the request ran, as far as this code tells.
            pub const fn ran(self) -> Ran {
                match self {
                    $(Self::$name => Ran::$ran,)*
                }
            }

            /// One line for people.
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

codes! {
    /// Success.
    Ok = 0, 200, Ran, "done";

    /// The request carried no key.
    NoKey = 101, 401, NotRun, "no key: send `authorization: Bearer KEY`";
    /// The key is unknown.
    BadKey = 102, 401, NotRun, "unknown key";
    /// The key was withdrawn.
    KeyWithdrawn = 103, 401, NotRun, "key withdrawn";
    /// The path names no known service.
    UnknownService = 104, 404, NotRun, "unknown service";
    /// The request cannot be read.
    BadRequest = 105, 400, NotRun, "malformed request";
    /// The request's body is over the limit.
    BodyTooLarge = 106, 413, NotRun, "request body too large";
    /// The request's head is over the limit.
    HeadTooLarge = 107, 431, NotRun, "request head too large";

    /// The team is at its upper limit.
    TeamLimit = 201, 429, NotRun, "team at its upper limit";
    /// The queue is full.
    QueueFull = 202, 503, NotRun, "queue full";
    /// The request cannot start before its deadline.
    Deadline = 203, 504, NotRun, "cannot start before the deadline";
    /// No upstream of the service's pool can take the request.
    NoUpstream = 204, 503, NotRun, "no upstream available";
    /// The entry is stopping.
    Stopping = 205, 503, NotRun, "entry is stopping";
    /// The entry has no usable state yet.
    NotReady = 206, 503, NotRun, "entry not ready";
    /// The entry is out of contact and may not start work for this team.
    Fenced = 207, 503, NotRun, "entry out of contact with the fleet";

    /// No connection to an upstream could be made.
    Unreachable = 301, 502, NotRun, "upstream unreachable";
    /// The request was handed over and its outcome is unknown.
    Lost = 302, 502, Unknown, "no answer from the upstream: outcome unknown";
    /// The answer did not come in time.
    Timeout = 303, 504, Unknown, "upstream timed out: outcome unknown";
    /// The upstream itself said that it did not run the request.
    Declined = 304, 503, NotRun, "upstream is full and did not run it";
    /// The upstream's answer ends with its connection, so a cut one would look whole.
    Unframed = 305, 502, Unknown, "upstream's answer has no length";

    /// The ticket cannot be read or breaks its schema.
    BadTicket = 401, 400, NotRun, "malformed ticket";
    /// The ticket's number was used with other content.
    TicketUsed = 402, 409, NotRun, "ticket number used with other content";
    /// An object of the ticket was touched by a higher ticket.
    TicketStale = 403, 409, NotRun, "a higher ticket touched the same object";
    /// The ticket refers to something that does not exist.
    MissingReference = 404, 422, NotRun, "reference to a missing object";
    /// A budget of the ticket cannot hold.
    BudgetImpossible = 405, 422, NotRun, "budget cannot hold";
    /// The operator's key is missing or unknown.
    NotOperator = 406, 401, NotRun, "operator key missing or unknown";
    /// The platform's log did not answer; the ticket may be in it.
    LogUnknown = 407, 503, Unknown, "log did not answer: outcome unknown, send the same ticket again";
    /// No such object.
    NotFound = 408, 404, NotRun, "no such object";
    /// An object is still referred to and cannot be removed.
    StillUsed = 409, 422, NotRun, "object is still referred to";

    /// The settings cannot be used.
    BadSettings = 501, 400, NotRun, "settings cannot be used";
}

impl Code {
    /// The code's number.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// The code with this number.
    pub fn from_number(n: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|c| c.number() == n)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}

impl serde::Serialize for Code {
    fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_u16(self.number())
    }
}

impl<'de> serde::Deserialize<'de> for Code {
    fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let n = u16::deserialize(input)?;
        Self::from_number(n).ok_or_else(|| serde::de::Error::custom("unknown code"))
    }
}
