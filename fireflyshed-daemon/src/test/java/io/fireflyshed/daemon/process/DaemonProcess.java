package io.fireflyshed.daemon.process;

import io.fireflyshed.daemon.Main;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Runs a command of the command line in a process of its own. */
final class DaemonProcess implements AutoCloseable {

  private static final String LISTENING = "listening on ";

  private final Process process;
  private final int port;

  DaemonProcess(String... arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + "/bin/java");
    command.addAll(List.of("-Xmx192m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
    command.addAll(List.of(arguments));
    process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
    port = readPort(process.inputReader(StandardCharsets.UTF_8));
  }

  int getPort() {
    return port;
  }

  /** Kills the process, as in a crash, and waits until it has ended. */
  void kill() {
    process.destroyForcibly();
    process.onExit().join();
  }

  /** Requests an orderly shutdown of the process and waits until it has ended. */
  void stop() {
    process.destroy();
    process.onExit().join();
  }

  /** Pauses the process until it is resumed. */
  void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Resumes a paused process. */
  void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  @Override
  public void close() {
    kill();
  }

  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  private static int readPort(BufferedReader reader) {
    try {
      String line = reader.readLine();
      while (line != null && !line.contains(LISTENING)) {
        line = reader.readLine();
      }
      if (line == null) {
        throw new IllegalStateException("the process ended before it was listening");
      }
      return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
