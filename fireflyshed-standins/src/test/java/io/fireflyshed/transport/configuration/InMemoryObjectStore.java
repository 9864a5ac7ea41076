package io.fireflyshed.transport.configuration;

import io.fireflyshed.state.object.ObjectStore;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** An object store that keeps its objects in memory. */
final class InMemoryObjectStore implements ObjectStore {

  private final Map<String, String> texts = new ConcurrentHashMap<>();

  @Override
  public CompletableFuture<Optional<String>> read(String name) {
    return CompletableFuture.completedFuture(Optional.ofNullable(texts.get(name)));
  }

  @Override
  public CompletableFuture<Void> write(String name, String text) {
    texts.put(name, text);
    return CompletableFuture.completedFuture(null);
  }

  void damageAll() {
    texts.replaceAll((name, text) -> text + " ");
  }
}
