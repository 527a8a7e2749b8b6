//! Faults of an engine whose process runs on. Its test tells it a fault and for how long.
//!
//! None of them ends an answer at an event's border: there the end of a living engine is an end.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// A fault of an engine that is otherwise sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// Streams end inside an event.
    BrokenEvent,
    /// The size of a chunk is no number.
    SpoiledChunk,
    /// A connection that is kept brings a second answer.
    SecondAnswer,
    /// Reports are answered with status 503.
    ReportBusy,
    /// Reports are answered with status 404.
    ReportMissing,
    /// Reports are answered after some time.
    ReportLate,
}

/// The time by which a late report comes late.
pub const REPORT_DELAY: Duration = Duration::from_millis(700);

impl EngineFault {
    /// The faults in answers.
    pub const IN_ANSWERS: [Self; 3] = [Self::BrokenEvent, Self::SpoiledChunk, Self::SecondAnswer];
    /// The faults in reports.
    pub const IN_REPORTS: [Self; 3] = [Self::ReportBusy, Self::ReportMissing, Self::ReportLate];

    fn name(self) -> &'static str {
        match self {
            Self::BrokenEvent => "broken-event",
            Self::SpoiledChunk => "spoiled-chunk",
            Self::SecondAnswer => "second-answer",
            Self::ReportBusy => "report-busy",
            Self::ReportMissing => "report-missing",
            Self::ReportLate => "report-late",
        }
    }

    /// Returns the command that has an engine fail for a time.
    pub fn command(self, length: Duration) -> String {
        format!("fault {} {}", self.name(), length.as_millis())
    }

    fn parse(name: &str) -> Option<Self> {
        let mut all = Self::IN_ANSWERS.into_iter().chain(Self::IN_REPORTS);
        all.find(|fault| fault.name() == name)
    }
}

/// The fault that an engine has now.
#[derive(Debug, Default)]
pub struct CurrentFault {
    fault: Mutex<Option<(EngineFault, Instant)>>,
}

impl CurrentFault {
    /// Takes a command over, if it is one of a fault.
    pub fn obey(&self, command: &str) {
        let parts: Vec<&str> = command.split(' ').collect();
        let ["fault", name, length_ms] = parts[..] else {
            return;
        };
        let fault = EngineFault::parse(name).expect("the soak names a fault");
        let length_ms = length_ms.parse().expect("the soak names a time");
        let until = Instant::now() + Duration::from_millis(length_ms);
        *self.fault.lock() = Some((fault, until));
    }

    /// Returns whether the engine has this fault now.
    pub fn is(&self, fault: EngineFault) -> bool {
        let current = *self.fault.lock();
        current.is_some_and(|(known, until)| known == fault && Instant::now() < until)
    }
}
