io.fireflyshed.bench.limits.LimitsBench
io.fireflyshed.bench.routing.RoutingBench
