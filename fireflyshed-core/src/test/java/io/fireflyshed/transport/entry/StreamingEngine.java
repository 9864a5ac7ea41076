package io.fireflyshed.transport.entry;

import io.fireflyshed.protocol.engine.EngineOrder;
import io.fireflyshed.protocol.engine.LoadReport;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.MemberHealth;
import java.util.concurrent.CompletableFuture;

/** An engine of tests that only streams answers. */
interface StreamingEngine extends ModelEngine {

  @Override
  default CompletableFuture<MemberHealth> probe(InstanceRecord instance) {
    throw new UnsupportedOperationException();
  }

  @Override
  default CompletableFuture<LoadReport> readLoad(InstanceRecord instance) {
    throw new UnsupportedOperationException();
  }

  @Override
  default CompletableFuture<Void> order(InstanceRecord instance, EngineOrder order) {
    throw new UnsupportedOperationException();
  }
}
