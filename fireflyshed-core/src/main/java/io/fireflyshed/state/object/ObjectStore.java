package io.fireflyshed.state.object;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Stores large immutable texts in the platform's object store. */
public interface ObjectStore {

  /**
   * Reads an object.
   *
   * @param name the name of the object, not null
   * @return a future of the text, or of empty if no such object exists
   */
  CompletableFuture<Optional<String>> read(String name);

  /**
   * Writes an object.
   *
   * @param name the name of the object, not null
   * @param text the text, not null
   * @return a future that completes when the object is durable
   */
  CompletableFuture<Void> write(String name, String text);
}
