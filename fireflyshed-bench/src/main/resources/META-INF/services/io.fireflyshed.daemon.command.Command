io.fireflyshed.bench.repair.RepairCommand
io.fireflyshed.bench.relay.RelayBench
io.fireflyshed.bench.capacity.CapacityBench
io.fireflyshed.bench.drain.DrainCommand
