//! Numbered result codes, documented for users in `docs/CODES.md`.

use std::fmt;

use crate::Ran;

/// Declares the codes: meaning, variant, number, HTTP status, execution state, text and advice.
///
/// The doc comment of a variant is also what [`Code::meaning`] returns.
macro_rules! codes {
    ($(
        $(#[doc = $doc:literal])+
        $name:ident = $number:literal, $status:literal, $ran:ident, $text:literal
        $(, $advice:literal)?;
    )*) => {
        /// A numbered result code.
        ///
        /// Numbers are stable: the number of a removed code is never reused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum Code {
            $($(#[doc = $doc])+ $name = $number,)*
        }

        impl Code {
            /// All codes, in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// HTTP status of responses with this code.
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// What this code tells about the execution of the request.
            pub const fn ran(self) -> Ran {
                match self {
                    $(Self::$name => Ran::$ran,)*
                }
            }

            /// One-line human-readable text.
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Meaning of the code, as a sentence.
            pub fn meaning(self) -> &'static str {
                let text = match self {
                    $(Self::$name => concat!($($doc),+),)*
                };
                text.trim_start()
            }

            /// Advice for the recipient; empty only until advice for a new code is written.
            pub const fn advice(self) -> &'static str {
                match self {
                    $(Self::$name => concat!($($advice)?),)*
                }
            }
        }
    };
}

codes! {
    /// Success.
    Ok = 0, 200, Ran,
        "done",
        "Nothing.";

    /// The request carried no key.
    NoKey = 101, 401, NotRun,
        "no key: send `authorization: Bearer KEY`",
        "Send the team's key.";
    /// The key is unknown.
    BadKey = 102, 401, NotRun,
        "unknown key",
        "Check the key; ask an operator for a new one.";
    /// The key was withdrawn.
    KeyWithdrawn = 103, 401, NotRun,
        "key withdrawn",
        "Ask an operator for a new key.";
    /// The path names no known service.
    UnknownService = 104, 404, NotRun,
        "unknown service",
        "Check the path: `/s/SERVICE/...`.";
    /// The request cannot be read.
    BadRequest = 105, 400, NotRun,
        "malformed request",
        "Mend the request; the same one fails again.";
    /// The request's body is over the limit.
    BodyTooLarge = 106, 413, NotRun,
        "request body too large",
        "Send less, or ask an operator to raise `limits.body_bytes`.";
    /// The request's head is over the limit.
    HeadTooLarge = 107, 431, NotRun,
        "request head too large",
        "Send fewer or shorter headers.";

    /// The path names no known queue.
    NoQueue = 108, 404, NotRun,
        "unknown queue",
        "Check the host and the path.";

    /// The team is at its upper limit.
    TeamLimit = 201, 429, NotRun,
        "team at its upper limit",
        "Come back after `Retry-After`, or when requests of the team have ended.";
    /// The queue is full.
    QueueFull = 202, 503, NotRun,
        "queue full",
        "Come back after `Retry-After`.";
    /// The request cannot start before its deadline.
    Deadline = 203, 504, NotRun,
        "cannot start before the deadline",
        "Come back after `Retry-After`, or allow more time.";
    /// No upstream of the service's pool can take the request.
    NoUpstream = 204, 503, NotRun,
        "no upstream available",
        "Come back later; operators: look at the pool's instances.";
    /// The entry is stopping.
    Stopping = 205, 503, NotRun,
        "entry is stopping",
        "Send it again at once; the balancer picks another entry.";
    /// The entry has no usable state yet.
    NotReady = 206, 503, NotRun,
        "entry not ready",
        "Send it again at once; the balancer picks another entry.";
    /// The entry is out of contact and may not start work for this team.
    Fenced = 207, 503, NotRun,
        "entry out of contact with the fleet",
        "Send it again through another entry; operators: look at the network.";

    /// The platform's store did not take the job: nothing of it runs.
    StoreAway = 208, 503, NotRun,
        "platform's store is away: not accepted",
        "Come back after `Retry-After`.";
    /// No owner of the cell answers.
    NoOwner = 209, 503, NotRun,
        "no owner of the job answers",
        "Ask again after `Retry-After`; the job goes on meanwhile.";
    /// Nobody has scheduled jobs for so long that this one would begin too late.
    NoScheduler = 210, 503, NotRun,
        "nobody schedules jobs: it would begin too late",
        "Come back after `Retry-After`.";
    /// The open jobs of the cell, or of the team beyond its share of them, take up all memory that
    /// every node has for them.
    StateFull = 211, 503, NotRun,
        "too many open jobs: not accepted",
        "Come back after `Retry-After`, or when jobs of the team have ended.";

    /// No connection to an upstream could be made.
    Unreachable = 301, 502, NotRun,
        "upstream unreachable",
        "Send it again.";
    /// The request was handed over and its outcome is unknown.
    Lost = 302, 502, Unknown,
        "no answer from the upstream: outcome unknown",
        "Find out whether it ran before it is sent again, unless it is idempotent.";
    /// The answer did not come in time.
    Timeout = 303, 504, Unknown,
        "upstream timed out: outcome unknown",
        "Find out whether it ran before it is sent again, unless it is idempotent.";
    /// The upstream itself said that it did not run the request.
    Declined = 304, 503, NotRun,
        "upstream is full and did not run it",
        "Send it again later, as `retry-after` says.";
    /// The upstream's answer ends with its connection, so a cut one would look whole.
    Unframed = 305, 502, Unknown,
        "upstream's answer has no length",
        "Have the upstream send `content-length` or chunks.";

    /// The platform's store did not answer: the job or its cancelling may have been accepted.
    StoreDoubt = 306, 504, Unknown,
        "platform's store did not answer: outcome unknown",
        "Send the same job again under the same id: a repeat has no further effect.";

    /// The ticket cannot be read or breaks its schema.
    BadTicket = 401, 400, NotRun,
        "malformed ticket",
        "Mend the ticket; `cactuswheel ticket validate` names the place.";
    /// The ticket's number was used with other content.
    TicketUsed = 402, 409, NotRun,
        "ticket number used with other content",
        "Take the next free number: `cactuswheel ticket next`.";
    /// An object of the ticket was touched by a higher ticket.
    TicketStale = 403, 409, NotRun,
        "a higher ticket touched the same object",
        "Look at the newer state (`cactuswheel ticket diff`), then use a higher number.";
    /// The ticket refers to something that does not exist.
    MissingReference = 404, 422, NotRun,
        "reference to a missing object",
        "Add the missing object to the ticket, or correct the name.";
    /// A budget of the ticket cannot hold.
    BudgetImpossible = 405, 422, NotRun,
        "budget cannot hold",
        "Lower `max_down`, or give the pool more instances.";
    /// The operator's key is missing or unknown.
    NotOperator = 406, 401, NotRun,
        "operator key missing or unknown",
        "Set `CACTUSWHEEL_KEY` to an operator key that the entry's settings list.";
    /// The platform's log did not answer; the ticket may be in it.
    LogUnknown = 407, 503, Unknown,
        "log did not answer: outcome unknown, send the same ticket again",
        "Put the same ticket in again: a repeat has no further effect.";
    /// No such object.
    NotFound = 408, 404, NotRun,
        "no such object",
        "Check the path or the name.";
    /// An object is still referred to and cannot be removed.
    StillUsed = 409, 422, NotRun,
        "object is still referred to",
        "Remove or change what refers to it in the same ticket.";

    // Printed by the programs themselves; no HTTP response carries these codes.
    /// The settings cannot be used.
    BadSettings = 501, 400, NotRun,
        "settings cannot be used",
        "Mend the settings; `cactuswheeld --check --settings FILE` names the place.";
    /// A file given on the command line cannot be read or holds something else.
    BadFile = 502, 400, NotRun,
        "file cannot be used",
        "Mend the file; the line names the place.";
    /// The command line could not reach the entry.
    EntryUnreachable = 503, 502, NotRun,
        "entry cannot be reached",
        "Check the address, or take another entry: any of them will do.";
    /// The entry was sent a command and gave no whole answer.
    EntryLost = 504, 504, Unknown,
        "entry gave no answer: outcome unknown",
        "Repeat the command: the same ticket again has no further effect.";
    /// A change is in force, but not every entry has confirmed that in time.
    NotEverywhere = 505, 504, Ran,
        "in force, but not confirmed everywhere",
        "See `cactuswheel status`; look at the entries that did not answer.";
    /// A node leaves a cell to others: its state is more than the node's memory allows.
    StateTooLarge = 506, 503, NotRun,
        "the cell's state is too large for this node",
        "Give the nodes more memory, or hand in fewer jobs; a node with more memory takes the cell.";

    /// A service's disruption budget has no room.
    BudgetFull = 601, 409, NotRun,
        "disruption budget has no room",
        "Wait until instances of the pool are back, or raise the service's `max_down`.";
    /// The grant or the life of the instance is not the one that the step names.
    GrantStale = 602, 409, NotRun,
        "grant or incarnation is stale",
        "Nothing: the step belongs to an outage that is over.";
    /// The instance is held by another outage.
    InstanceHeld = 603, 409, NotRun,
        "instance is held by another outage",
        "Wait until it is back; `cactuswheel maintenance show` tells why it is held.";
    /// The step is not possible at this stage of the outage.
    WrongStage = 604, 409, NotRun,
        "outage is at another stage",
        "Nothing: the outage goes on by itself.";
    /// No such wave, it is paused, or the instance had its turn in it.
    WaveClosed = 605, 409, NotRun,
        "wave takes no such step",
        "Look at the newest wave: `cactuswheel maintenance show`.";
    /// A pool would not hold its demand after the loss of a rack.
    NoRoom = 606, 409, NotRun,
        "pool would not hold its demand after losing a rack",
        "Bring instances in before others leave, or lower the demand.";

    /// A job of this name was submitted with another description.
    JobUsed = 701, 409, NotRun,
        "job name used with another description",
        "Choose another name for another job.";
    /// The job is larger than every worker of its pool.
    JobTooLarge = 702, 422, NotRun,
        "job larger than every worker of its pool",
        "Ask for less, or for another pool.";
    /// The team has too many jobs waiting.
    JobsFull = 703, 429, NotRun,
        "too many jobs waiting",
        "Come back after the time given.";
    /// The job was overtaken: it is not in the state that the event is about.
    JobMoved = 704, 409, NotRun,
        "job is in another state",
        "Look the job up; what was asked no longer applies.";
    /// The worker has no room, or takes no work just now.
    WorkerFull = 705, 409, NotRun,
        "worker takes no such job now",
        "Nothing: the job is placed elsewhere.";
    /// The job cannot be read or breaks its schema.
    BadJob = 706, 400, NotRun,
        "malformed job",
        "Mend the job as the detail says.";
    /// There is no such job, or it is forgotten.
    NoJob = 707, 410, NotRun,
        "no such job",
        "Check the id; a job that ended is forgotten after some minutes.";
}

impl Code {
    /// Number of the code.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// The code with the number `n`, if there is one.
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
