//! Records requests that upstreams left unserved: full ones are held back, others are ejected.

use super::*;

impl UpstreamClients {
    /// Records a request that was sent at `sample` and that a full upstream may have left unserved. A full one gets
    /// nothing for a while; any other has failed. Returns whether it was full.
    pub fn record_unserved(
        &self,
        client: &UpstreamClient,
        reason: &str,
        sample: SendSample,
        clock: &Clock,
    ) -> bool {
        let entry_hosts = self.entry_hosts.load(Ordering::Relaxed);
        let upstream = &client.incarnation;
        if self
            .rate_limits
            .was_inferred_since(upstream, sample.sent_at)
        {
            let now = clock.now();
            client.load().saturation.record_inferred_limit(now);
        }
        let random = rand::random();
        let verdict = client
            .load()
            .record_unserved(sample, entry_hosts, random, clock.now());
        self.record_verdict(client, reason, verdict);
        matches!(verdict, Verdict::Full | Verdict::Held { .. })
    }

    /// Records that an upstream refused a request that was sent at `sample`, with proof that it didn't run.
    pub fn record_refusal(&self, client: &UpstreamClient, sample: SendSample, clock: &Clock) {
        let entry_hosts = self.entry_hosts.load(Ordering::Relaxed);
        let random = rand::random();
        let verdict = client
            .load()
            .record_refusal(sample, entry_hosts, random, clock.now());
        if let Some(verdict) = verdict {
            self.record_verdict(client, "", verdict);
        }
    }

    /// Records that an upstream reset a connection before the request that was to be sent on it at `sample`.
    pub fn record_reset_when_opened(
        &self,
        client: &UpstreamClient,
        sample: SendSample,
        clock: &Clock,
    ) {
        let now = clock.now();
        client.record_reset(now);
        let entry_hosts = self.entry_hosts.load(Ordering::Relaxed);
        let random = rand::random();
        let verdict = client
            .load()
            .record_reset_when_opened(sample, entry_hosts, random, now);
        self.record_verdict(client, RESET_WHEN_OPENED, verdict);
    }

    fn record_verdict(&self, client: &UpstreamClient, reason: &str, verdict: Verdict) {
        match verdict {
            Verdict::Ejected => self.record_ejected(client, reason),
            Verdict::Held { evidence, hold_ms } => {
                self.metrics.upstreams_full.inc();
                self.recorder.record(Event::UpstreamFull {
                    upstream: client.incarnation.id.clone(),
                    evidence: evidence.name().to_string(),
                    hold_ms,
                });
            }
            Verdict::Failed | Verdict::Full => {}
        }
    }
}
