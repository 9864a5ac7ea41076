io.fireflyshed.bench.capacity.CapacityBench
io.fireflyshed.bench.order.OrderBench
io.fireflyshed.bench.poison.PoisonBench
io.fireflyshed.bench.configuration.ConfigBenchCommand
io.fireflyshed.bench.membership.MembershipBenchCommand
io.fireflyshed.bench.relay.RelayBench
io.fireflyshed.bench.repair.RepairCommand
