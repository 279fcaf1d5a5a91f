"""Which front ends are there: membership by probes, suspicion and gossip (SWIM, Lifeguard). No I/O."""
