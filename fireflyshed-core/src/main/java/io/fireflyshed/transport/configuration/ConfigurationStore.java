package io.fireflyshed.transport.configuration;

import io.fireflyshed.protocol.configuration.ConfigurationRecordCodec;
import io.fireflyshed.state.configuration.ConfigurationHead;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.error.ServingException;
import io.fireflyshed.state.object.ObjectStore;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Keeps the chain of configurations in the table service and their texts in the object store.
 * Thread safe.
 *
 * <p>The head row names the newest version; each version has a row of its own that is never
 * changed. A text is named by its digest, so that two writers of one name write the same text.
 */
public final class ConfigurationStore {

  private static final String TABLE = "configuration";
  private static final RowKey HEAD = new RowKey(TABLE, "head");

  private final TableService table;
  private final ObjectStore objects;

  /**
   * Creates a store.
   *
   * @param table the table service, not null
   * @param objects the object store, not null
   */
  public ConfigurationStore(TableService table, ObjectStore objects) {
    this.table = Objects.requireNonNull(table, "table");
    this.objects = Objects.requireNonNull(objects, "objects");
  }

  /**
   * Gets the digest that names a text.
   *
   * @param text the text, not null
   * @return the digest, never null
   */
  public static String toDigest(String text) {
    return DigestUtils.sha256Hex(text);
  }

  /**
   * Reads the end of the chain.
   *
   * @return a future of the end, or of empty if nothing was ever accepted
   */
  public CompletableFuture<Optional<ConfigurationHead>> readHead() {
    return table
        .read(HEAD)
        .thenApply(row -> row.map(r -> new ConfigurationHead(toRecord(r), r.version())));
  }

  /**
   * Reads one version of the chain.
   *
   * @param version the version, 1 or more
   * @return a future of the version, or of empty if it was not accepted
   */
  public CompletableFuture<Optional<ConfigurationRecord>> readVersion(long version) {
    return table.read(toKey(version)).thenApply(row -> row.map(ConfigurationStore::toRecord));
  }

  /**
   * Reads the text of a version and checks its digest.
   *
   * @param record the version, not null
   * @return a future of the text; it fails with a {@link ServingException} if the text is missing
   *     or damaged
   */
  public CompletableFuture<String> readBody(ConfigurationRecord record) {
    return objects
        .read(toObjectName(record.digest()))
        .thenApply(
            text ->
                text.filter(t -> toDigest(t).equals(record.digest()))
                    .orElseThrow(
                        () ->
                            new ServingException(
                                "read-configuration",
                                "object store",
                                "text of version " + record.version() + " missing or damaged")));
  }

  /**
   * Writes a text.
   *
   * @param text the text, not null
   * @return a future that completes when the text is durable
   */
  public CompletableFuture<Void> writeBody(String text) {
    return objects.write(toObjectName(toDigest(text)), text);
  }

  /**
   * Appends a version if the end of the chain has not moved.
   *
   * @param record the version, not null
   * @param headRowVersion the required version of the head row, 0 if it must not exist
   * @return a future of the result of the transaction
   */
  public CompletableFuture<CommitResult> commit(ConfigurationRecord record, long headRowVersion) {
    String text = ConfigurationRecordCodec.toText(record);
    RowKey key = toKey(record.version());
    return table.commit(
        new Transaction(
            List.of(new Condition(HEAD, headRowVersion), Condition.ofAbsent(key)),
            List.of(Write.ofPut(HEAD, text), Write.ofPut(key, text))));
  }

  private static RowKey toKey(long version) {
    return new RowKey(TABLE, String.format(Locale.ROOT, "version-%019d", version));
  }

  private static String toObjectName(String digest) {
    return "configuration-" + digest;
  }

  private static ConfigurationRecord toRecord(Row row) {
    return ConfigurationRecordCodec.fromText(row.value());
  }
}
