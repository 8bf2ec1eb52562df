//! Options of `key`.

use bpaf::Bpaf;
use cactuswheel_model::{Digest, TeamId};

use super::wait::{WaitOptions, wait_options};

/// What to do with keys.
#[derive(Debug, Clone, Bpaf)]
pub enum KeyCommand {
    /// List keys by their digests
    #[bpaf(command)]
    List,
    /// Make a key for a team, grant it and print it once
    #[bpaf(command)]
    Grant {
        /// How to wait for the other entries
        #[bpaf(external(wait_options))]
        wait: WaitOptions,
        /// The team
        #[bpaf(positional("TEAM"))]
        team: TeamId,
    },
    /// Withdraw a key for good
    #[bpaf(command)]
    Withdraw {
        /// How to wait for the other entries
        #[bpaf(external(wait_options))]
        wait: WaitOptions,
        /// The key's digest
        #[bpaf(positional("DIGEST"))]
        digest: Digest,
    },
    /// Withdraw a key at one entry at once, also while the platform is out of reach
    ///
    /// The entry tells its peers, and the log as soon as it answers.
    #[bpaf(command)]
    Deny {
        /// The key's digest
        #[bpaf(positional("DIGEST"))]
        digest: Digest,
    },
    /// Print the digest of the key that stands on standard input
    #[bpaf(command)]
    Digest,
}
