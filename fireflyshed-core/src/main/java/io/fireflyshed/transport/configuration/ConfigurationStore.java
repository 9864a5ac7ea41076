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
 * Stores the configuration history in the table service and the texts of the configurations in the
 * object store. Thread safe.
 *
 * <p>The head row contains the newest version. Each version also has a row of its own, which never
 * changes. The object that contains a text is named by the digest of the text, so that two writers
 * of the same object write the same text.
 */
public final class ConfigurationStore {

  private static final String TABLE = "configuration";
  private static final RowKey HEAD_KEY = new RowKey(TABLE, "head");

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
   * Returns the digest by which a text is stored.
   *
   * @param text the text, not null
   * @return the SHA-256 digest in hexadecimal, never null
   */
  public static String toDigest(String text) {
    return DigestUtils.sha256Hex(text);
  }

  /**
   * Reads the head of the history.
   *
   * @return a future of the head, or of empty if no version was ever accepted
   */
  public CompletableFuture<Optional<ConfigurationHead>> readHead() {
    return table
        .read(HEAD_KEY)
        .thenApply(row -> row.map(r -> new ConfigurationHead(toRecord(r), r.version())));
  }

  /**
   * Reads one version of the history.
   *
   * @param version the number of the version, 1 or more
   * @return a future of the version, or of empty if it was not accepted
   */
  public CompletableFuture<Optional<ConfigurationRecord>> readVersion(long version) {
    return table.read(toKey(version)).thenApply(row -> row.map(ConfigurationStore::toRecord));
  }

  /**
   * Reads the text of a version and checks its digest.
   *
   * @param record the version, not null
   * @return a future of the text, which fails with a {@link ServingException} if the text is
   *     missing or its digest is wrong
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
                                "text of version "
                                    + record.version()
                                    + " is missing or has a wrong digest")));
  }

  /**
   * Writes the text of a version.
   *
   * @param text the text, not null
   * @return a future that completes when the text is durable
   */
  public CompletableFuture<Void> writeBody(String text) {
    return objects.write(toObjectName(toDigest(text)), text);
  }

  /**
   * Appends a version to the history, provided that the head row has not changed.
   *
   * @param record the version, not null
   * @param headRowVersion the required version of the head row, 0 if the row must not exist
   * @return a future of the result of the transaction
   */
  public CompletableFuture<CommitResult> commit(ConfigurationRecord record, long headRowVersion) {
    String text = ConfigurationRecordCodec.toText(record);
    RowKey key = toKey(record.version());
    return table.commit(
        new Transaction(
            List.of(new Condition(HEAD_KEY, headRowVersion), Condition.ofAbsent(key)),
            List.of(Write.ofPut(HEAD_KEY, text), Write.ofPut(key, text))));
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
