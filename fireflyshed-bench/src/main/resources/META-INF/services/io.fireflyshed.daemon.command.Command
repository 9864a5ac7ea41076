io.fireflyshed.bench.repair.RepairCommand
