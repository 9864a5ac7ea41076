io.fireflyshed.bench.limits.LimitsBench
io.fireflyshed.bench.routing.RoutingBench
io.fireflyshed.bench.repair.RepairCommand
io.fireflyshed.bench.relay.RelayBench
io.fireflyshed.bench.capacity.CapacityBench
