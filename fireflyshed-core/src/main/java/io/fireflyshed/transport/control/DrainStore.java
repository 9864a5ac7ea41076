package io.fireflyshed.transport.control;

import io.fireflyshed.coordination.drain.DrainOrders;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Keeps the operators' drains in the table service, one row for each. Thread safe. */
public final class DrainStore {

  private static final String DRAINS = "drains";
  private static final String INSTANCE = "instance/";
  private static final String DOMAIN = "domain/";
  private static final String SET = "drain";

  private final TableService table;

  /**
   * Creates a store.
   *
   * @param table the table service, not null
   */
  public DrainStore(TableService table) {
    this.table = table;
  }

  /**
   * Reads all drains.
   *
   * @return a future of the drains
   */
  public CompletableFuture<DrainOrders> read() {
    return table.scan(DRAINS, "").thenApply(DrainStore::toOrders);
  }

  /**
   * Starts or ends the drain of an instance.
   *
   * @param instance the instance, not null
   * @param isDrained whether it leaves
   * @return a future of the result; the request may be repeated
   */
  public CompletableFuture<CommitResult> set(InstanceId instance, boolean isDrained) {
    return put(INSTANCE + instance, isDrained);
  }

  /**
   * Starts or ends the drain of a whole fabric domain.
   *
   * @param domain the fabric domain, not null
   * @param isDrained whether its instances leave
   * @return a future of the result; the request may be repeated
   */
  public CompletableFuture<CommitResult> set(FabricDomain domain, boolean isDrained) {
    return put(DOMAIN + domain, isDrained);
  }

  private CompletableFuture<CommitResult> put(String name, boolean isDrained) {
    RowKey key = new RowKey(DRAINS, name);
    Write write = isDrained ? Write.ofPut(key, SET) : Write.ofDelete(key);
    return table.commit(new Transaction(List.of(), List.of(write)));
  }

  private static DrainOrders toOrders(List<Row> rows) {
    Set<InstanceId> instances = new HashSet<>();
    Set<FabricDomain> domains = new HashSet<>();
    for (Row row : rows) {
      String name = row.key().key();
      if (name.startsWith(INSTANCE)) {
        instances.add(new InstanceId(name.substring(INSTANCE.length())));
      } else if (name.startsWith(DOMAIN)) {
        domains.add(new FabricDomain(name.substring(DOMAIN.length())));
      }
    }
    return new DrainOrders(instances, domains);
  }
}
