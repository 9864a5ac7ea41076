package io.fireflyshed.state.object;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store, which holds large immutable texts. */
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
   * @return a future that completes once the object is stored durably
   */
  CompletableFuture<Void> write(String name, String text);
}
