io.fireflyshed.bench.relay.RelayBench
