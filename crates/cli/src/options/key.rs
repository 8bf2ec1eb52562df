//! Options of `key`.

use bpaf::Bpaf;
use cactuswheel_model::{Digest, TeamId};

use super::wait::{WaitOptions, wait_options};

/// Commands on team keys.
#[derive(Debug, Clone, Bpaf)]
pub enum KeyCommand {
    /// List the digests of all keys
    #[bpaf(command)]
    List,
    /// Generate a key for a team, grant it and print it once
    #[bpaf(command)]
    Grant {
        /// Whether and how to wait for the other entries
        #[bpaf(external(wait_options))]
        wait: WaitOptions,
        /// Team that gets the key
        #[bpaf(positional("TEAM"))]
        team: TeamId,
    },
    /// Withdraw a key permanently
    #[bpaf(command)]
    Withdraw {
        /// Whether and how to wait for the other entries
        #[bpaf(external(wait_options))]
        wait: WaitOptions,
        /// Digest of the key
        #[bpaf(positional("DIGEST"))]
        digest: Digest,
    },
    /// Withdraw a key at one entry immediately, even while the platform is unreachable
    ///
    /// The entry notifies its peers, and writes the denial to the log once the log is reachable.
    #[bpaf(command)]
    Deny {
        /// Digest of the key
        #[bpaf(positional("DIGEST"))]
        digest: Digest,
    },
    /// Print the digest of the key read from standard input
    #[bpaf(command)]
    Digest,
}
