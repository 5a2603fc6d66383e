/// Onsets of episodes assumed of a service of which nothing was seen yet, and the time of one backend server
/// over which: one a minute.
const ASSUMED_ONSETS: (f64, f64) = (1.0, 60_000.0);

/// Ends of episodes assumed likewise, and the time of episodes over which: one lasts six seconds.
const ASSUMED_ENDS: (f64, f64) = (1.0, 6_000.0);

/// How much time of backend servers is remembered before older observations count half, in milliseconds: a
/// quarter of an hour of one, or a minute of fifteen.
const REMEMBERED_MS: f64 = 900_000.0;

/// The longest gap between two outcomes of a sound backend server over which it counts as watched, in
/// milliseconds.
const WATCHED_GAP_MS: u64 = 2_000;

/// The least chance that a request is taken to fail at a sound backend server.
///
/// Measured at three sites: 1.2 % of the answers of sound ones are errors.
const LEAST_FAILED: f64 = 0.012;

/// The most, well below the chance in an episode: a failure must not speak for a backend server.
const MOST_FAILED: f64 = 0.6;

/// The part of the share of failures that is laid to sound backend servers. With all of it, episodes are found
/// out late; with none, a service that sheds or fails as a whole has all its backend servers avoided.
const SOUND_PART: f64 = 0.5;

/// How much one outcome changes what is thought of the share of failures: it is that of the last hundred.
const FAILED_STEP: f64 = 0.02;

/// How often episodes of failures begin at a service's backend servers and how long they last, as learned
/// from what was seen of all of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Episodes {
    /// Episodes that were seen to begin.
    onsets: f64,
    /// The time over which backend servers were seen to be sound, in milliseconds.
    sound_ms: f64,
    /// Episodes that were seen to end.
    ends: f64,
    /// How long they had lasted, in milliseconds.
    lasted_ms: f64,
    /// The share of all requests that failed of late.
    failed: f64,
}

impl Default for Episodes {
    fn default() -> Episodes {
        let ((onsets, sound_ms), (ends, lasted_ms)) = (ASSUMED_ONSETS, ASSUMED_ENDS);
        Episodes { onsets, sound_ms, ends, lasted_ms, failed: LEAST_FAILED }
    }
}

impl Episodes {
    /// The share of the time that a backend server spends in episodes: the chance that one of which nothing
    /// was heard for long is in one.
    pub fn share(&self) -> f64 {
        self.onset_rate() / (self.onset_rate() + self.end_rate())
    }

    /// After how long what was known of a backend server counts for 1/e, in milliseconds.
    pub fn memory_ms(&self) -> f64 {
        1.0 / (self.onset_rate() + self.end_rate())
    }

    /// Notes how a request ended.
    pub(crate) fn note_outcome(&mut self, has_failed: bool) {
        let failed = f64::from(u8::from(has_failed));
        self.failed += FAILED_STEP * (failed - self.failed);
    }

    /// The chance that a request fails at a sound backend server.
    pub(crate) fn fails_otherwise(&self) -> f64 {
        (self.failed * SOUND_PART).clamp(LEAST_FAILED, MOST_FAILED)
    }

    /// Notes an outcome of a sound backend server, so long after the one before.
    pub(crate) fn note_sound(&mut self, gap_ms: u64) {
        if gap_ms <= WATCHED_GAP_MS {
            self.sound_ms += gap_ms as f64;
        }
        if self.sound_ms > REMEMBERED_MS {
            self.onsets /= 2.0;
            self.sound_ms /= 2.0;
            self.ends /= 2.0;
            self.lasted_ms /= 2.0;
        }
    }

    /// Notes that an episode has begun.
    pub(crate) fn note_onset(&mut self) {
        self.onsets += 1.0;
    }

    /// Notes that an episode has ended after so long.
    pub(crate) fn note_end(&mut self, lasted_ms: f64) {
        self.ends += 1.0;
        self.lasted_ms += lasted_ms;
    }

    /// Episodes that begin at a sound backend server in a millisecond.
    fn onset_rate(&self) -> f64 {
        self.onsets / self.sound_ms
    }

    /// Episodes that end in a millisecond of one.
    fn end_rate(&self) -> f64 {
        self.ends / self.lasted_ms
    }
}
