//! The rules for maintenance waves.

use cactuswheel_model::{Code, InstanceId, Refusal, Wave, WaveNo};

use super::Disruptions;
use super::steps::refuse;

impl Disruptions {
    /// Starts the next wave or changes the newest one.
    pub(crate) fn set_wave(&mut self, wave: &Wave) -> Result<(), Refusal> {
        let newest = self.wave.as_ref().map_or(0, |w| w.number.get());
        let number = wave.number.get();
        if number != newest && number != newest + 1 || number == 0 {
            let detail = format!("wave {number} named, {newest} is the newest");
            return Err(refuse(Code::WaveClosed, detail));
        }
        let began = match &self.wave {
            Some(current) if current.number == wave.number => current.began,
            _ => wave.began,
        };
        self.wave = Some(Wave {
            began,
            ..wave.clone()
        });
        Ok(())
    }

    /// Refuses an outage for a wave that is not the newest, is paused, or has already rebooted the
    /// instance.
    pub(super) fn check_wave(&self, id: &InstanceId, number: WaveNo) -> Result<(), Refusal> {
        let Some(wave) = self.wave.as_ref().filter(|w| w.number == number) else {
            let detail = format!("wave {number} is not the newest");
            return Err(refuse(Code::WaveClosed, detail));
        };
        if wave.paused {
            return Err(refuse(Code::WaveClosed, "paused by an operator".to_owned()));
        }
        if self.last_wave(id).is_some_and(|last| last >= number) {
            let detail = format!("{id} had its turn in wave {number}");
            return Err(refuse(Code::WaveClosed, detail));
        }
        Ok(())
    }
}
