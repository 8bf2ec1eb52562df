//! What goes wrong with a fleet.

use cactuswheel_http::Call;
use serde_json::{Value, json};

use crate::{Fleet, OPERATOR_KEY, Process, Relay};

impl Fleet {
    /// Kills an entry and starts an empty one at its addresses, which knows all other entries.
    pub fn replace_entry(&mut self, n: usize) {
        self.kill_entry(n);
        self.start_entry(n);
    }

    /// Kills an entry.
    pub fn kill_entry(&mut self, n: usize) {
        self.entries[n].signal("KILL");
        self.entries[n].wait();
    }

    /// Starts an empty entry at the addresses of one that ended.
    pub fn start_entry(&mut self, n: usize) {
        let name = format!("e{}", n + 1);
        let mut settings = self.read(&format!("{name}.json"));
        let others = (0..self.peers.len()).filter(|i| *i != n);
        settings["peers"] = others.map(|i| json!(self.peers[i])).collect();
        let file = self.file(&format!("{name}.json"), &settings);
        let file = file.to_str().expect("the scratch folder's name is text");
        self.entries[n] = Process::start("cactuswheeld", &["--settings", file]);
    }

    /// Replaces an entry by one that reaches the platform through a relay.
    pub async fn put_behind_relay(&mut self, n: usize) -> Relay {
        let listen = self.hosts.addr(9000);
        let relay = Relay::start(listen, self.platform_addr).await;
        let name = format!("e{}.json", n + 1);
        let mut settings = self.read(&name);
        settings["platform"] = json!(listen);
        self.file(&name, &settings);
        self.replace_entry(n);
        relay
    }

    /// Sets what is wrong with the platform.
    pub async fn fault(&self, fault: &Value) {
        let call = Call::post(self.platform_addr, "/fault").with_json(fault);
        let answer = call.expect("a fault is JSON").send().await;
        assert!(answer.is_ok_and(|a| a.status == 200), "{fault}");
    }

    /// Lets the log forget all but the newest `kept` records.
    pub async fn trim(&self, kept: usize) {
        let call = Call::post(self.platform_addr, format!("/trim?kept={kept}"));
        call.send().await.expect("the platform listens");
    }

    /// What an entry answers to an operator.
    pub async fn admin(&self, entry: usize, path: &str) -> Value {
        let call = Call::get(self.admins[entry], path).with_key(OPERATOR_KEY);
        let answer = call.send().await.expect("the entry listens");
        answer.json().expect("answers to operators are JSON")
    }
}
