//! How results of calls and changes of the table are entered in the book.

use super::*;

impl Lessor {
    pub(super) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Returns the parts of `range` that aren't changing owner.
    pub(super) fn settled_parts(&self, service: &str, range: &KeyRange) -> Vec<(Key, Key)> {
        let moves = self.moves.iter();
        let cuts = moves
            .filter(|m| m.service == service && m.fence == range.fence)
            .map(|m| (m.from, m.to))
            .collect();
        parts_outside(range.from, range.to, cuts)
    }

    /// Follows the table of owners, when it or what is changing hands isn't as it was.
    pub(super) fn follow_layout(&mut self, state: &State, now: Mono) {
        let moving = self.moves.iter().map(|m| (m.fence, m.from, m.to));
        let layout = Layout {
            owners: state.versions.owners,
            moving: moving.collect(),
        };
        if self.adopted.as_ref() == Some(&layout) {
            return;
        }
        let mut wanted: BTreeMap<Place, (Key, Incarnation)> = BTreeMap::new();
        for (service, table) in &state.owners {
            for range in table.ranges.values() {
                for (from, to) in self.settled_parts(service, range) {
                    let place = (service.clone(), range.fence, from);
                    wanted.insert(place, (to, range.owner.clone()));
                }
            }
        }
        self.adopt(wanted, state, now);
        self.adopted = Some(layout);
    }

    /// Parts that were cut off a granted range are renewed when it was due.
    fn adopt(&mut self, wanted: BTreeMap<Place, (Key, Incarnation)>, state: &State, now: Mono) {
        let old = std::mem::take(&mut self.renewals);
        for (place, (to, owner)) in wanted {
            let (service, fence, from) = &place;
            let within = old.range((service.clone(), *fence, 0)..=place.clone());
            let parent = within.rev().find(|(_, r)| r.to >= *from);
            let mut next = match parent {
                Some((at, parent)) => Renewal {
                    in_flight: parent.in_flight && *at == place,
                    ..parent.clone()
                },
                None => Renewal {
                    to,
                    owner,
                    in_flight: false,
                    next_at: now,
                    failures: 0,
                    handover: self.taken_handover(service, *fence, *from, state),
                    granted: false,
                },
            };
            next.to = to;
            self.renewals.insert(place, next);
        }
    }

    /// Returns the handover that the last owner gave for keys that now have a new fence.
    fn taken_handover(
        &mut self,
        service: &str,
        fence: u64,
        from: Key,
        state: &State,
    ) -> Option<String> {
        let range = state.owners.get(service)?.owner_of(from)?;
        if range.fence != fence || range.from != from {
            return None;
        }
        self.handovers
            .remove(&(service.to_string(), from, range.to))
    }

    pub(super) fn granted(
        &mut self,
        owner: Incarnation,
        place: &Place,
        result: CallResult,
        now: Mono,
    ) {
        let until = now.plus(longest_hold_ms(self.hold_ms));
        let bounds = self.bounds.entry(owner).or_default();
        let mut next_at = now.plus(RETRY_MS);
        let is_done = matches!(result, CallResult::Done(_));
        let is_not_sent = result == CallResult::NotSent;
        match result {
            CallResult::Done(_) => {
                bounds.confirmed_until = bounds.confirmed_until.max(until);
                bounds.heard_at = now;
                bounds.unanswered = 0;
                next_at = now.plus(self.hold_ms / RENEWALS_PER_HOLD);
            }
            CallResult::Fenced => {
                bounds.heard_at = now;
                self.fenced.insert(place.clone());
            }
            CallResult::NotSent | CallResult::LeaseEnded => {}
            // Its address belongs to another process: this one has ended.
            CallResult::Misdirected => bounds.heard_at = Mono(0),
            CallResult::Unknown => {
                bounds.doubtful_until = bounds.doubtful_until.max(until);
                bounds.unanswered += 1;
            }
        }
        if let Some(renewal) = self.renewals.get_mut(place) {
            renewal.in_flight = false;
            if is_not_sent {
                let pause_ms = RETRY_MS << renewal.failures.min(3);
                next_at = now.plus(pause_ms.min(RETRY_MOST_MS));
                renewal.failures += 1;
            } else {
                renewal.failures = 0;
            }
            renewal.next_at = next_at;
            renewal.granted |= is_done;
        }
    }

    pub(super) fn released(&mut self, service: &str, from: Key, result: CallResult, now: Mono) {
        let mut moves = self.moves.iter_mut();
        let releasing =
            |m: &&mut Move| m.service == service && m.from == from && m.stage == Stage::Releasing;
        let Some(m) = moves.find(releasing) else {
            return;
        };
        match result {
            CallResult::Done(handover) => {
                m.stage = Stage::Waiting(m.doubtful_until.max(now));
                if let Some(handover) = handover {
                    let place = (service.to_string(), m.from, m.to);
                    self.handovers.insert(place, handover);
                }
            }
            // The donor has ended, and its successor refuses what was meant for it.
            CallResult::Misdirected => m.stage = Stage::Waiting(now),
            _ => m.stage = Stage::Retrying(now.plus(RETRY_MS)),
        }
    }
}
