io.fireflyshed.bench.repair.RepairCommand
io.fireflyshed.bench.relay.RelayBench
