use tokio::sync::oneshot;

/// Requests that wait for a slot: the more urgent first, then who came first.
#[derive(Default)]
pub struct Waiting {
    /// Those that wait, in no order.
    places: Vec<Place>,
    /// The last number given out.
    last: u64,
}

/// One request that waits.
struct Place {
    /// Its rank; 0 goes first.
    priority: u32,
    /// Its number in order of arrival.
    number: u64,
    /// Wakes it.
    wake: oneshot::Sender<()>,
}

impl Waiting {
    /// Gives a request its number.
    pub fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Lets a request wait; the receiver ends when it is its turn to look again.
    pub fn enter(&mut self, priority: u32, number: u64) -> oneshot::Receiver<()> {
        let (wake, woken) = oneshot::channel();
        self.places.push(Place { priority, number, wake });
        woken
    }

    /// Wakes the first `count` of those that still wait.
    pub fn wake(&mut self, count: usize) {
        self.places.retain(|place| !place.wake.is_closed());
        for _ in 0..count {
            let first = (0..self.places.len())
                .min_by_key(|index| (self.places[*index].priority, self.places[*index].number));
            let Some(first) = first else { return };
            // One that left meanwhile hears nothing.
            let _ = self.places.swap_remove(first).wake.send(());
        }
    }

    /// Tells whether somebody waits who goes before a request of this rank.
    pub fn has_before(&self, priority: u32, number: u64) -> bool {
        let goes_before = |place: &Place| (place.priority, place.number) < (priority, number);
        self.places.iter().any(|place| !place.wake.is_closed() && goes_before(place))
    }

    /// How many wait.
    pub fn count(&self) -> usize {
        self.places.iter().filter(|place| !place.wake.is_closed()).count()
    }
}
