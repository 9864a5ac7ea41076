package io.fireflyshed.daemon.soak;

import java.io.File;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * The deployment of a trial with real processes.
 *
 * @param seed selects the faults
 * @param entries the number of entries
 * @param targets the number of targets of the plain service
 * @param earlierBuild the root of a compiled checkout of an earlier version, whose program some
 *     entries run, empty for none, not null
 * @param isEveryEntryEarlier whether all entries run it, not only every second one
 * @param isSuspendingEntries whether entries are suspended, too
 */
record TrialSettings(
    long seed,
    int entries,
    int targets,
    Optional<Path> earlierBuild,
    boolean isEveryEntryEarlier,
    boolean isSuspendingEntries) {

  private static final String SEEDS_PROPERTY = "trial.seeds";
  private static final String ENTRIES_PROPERTY = "trial.entries";
  private static final String TARGETS_PROPERTY = "trial.targets";
  private static final String EARLIER_BUILD_PROPERTY = "trial.earlier.build";
  private static final String EARLIER_ENTRIES_PROPERTY = "trial.earlier.entries";
  private static final String SUSPEND_ENTRIES_PROPERTY = "trial.suspend.entries";
  private static final String CLASS_PATH = System.getProperty("java.class.path");

  /** The root of the project; tests run in the directory of their module. */
  private static final String ROOT = Path.of("").toAbsolutePath().getParent().toString();

  TrialSettings {
    Objects.requireNonNull(earlierBuild, "earlierBuild");
  }

  /** Provides the seeds that are set, a number or a range. */
  static Object[][] provideSeeds(String defaultSeeds) {
    String[] range = System.getProperty(SEEDS_PROPERTY, defaultSeeds).split("-");
    return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]))
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  /** Reads the settings from system properties. */
  static TrialSettings read(long seed, int defaultEntries, int defaultTargets) {
    return new TrialSettings(
        seed,
        Integer.getInteger(ENTRIES_PROPERTY, defaultEntries),
        Integer.getInteger(TARGETS_PROPERTY, defaultTargets),
        Optional.ofNullable(System.getProperty(EARLIER_BUILD_PROPERTY)).map(Path::of),
        System.getProperty(EARLIER_ENTRIES_PROPERTY, "half").equals("all"),
        Boolean.getBoolean(SUSPEND_ENTRIES_PROPERTY));
  }

  /** Tests whether an entry runs the program of an earlier version. */
  boolean isEarlier(int entry) {
    return earlierBuild.isPresent() && (isEveryEntryEarlier || entry % 2 != 0);
  }

  /** Returns the class path of the program that an entry runs. */
  String getClassPath(int entry) {
    return !isEarlier(entry)
        ? CLASS_PATH
        : Arrays.stream(CLASS_PATH.split(File.pathSeparator))
            .map(this::toEarlier)
            .collect(Collectors.joining(File.pathSeparator));
  }

  /** Returns the classes of the earlier version in place of those of the program. */
  private String toEarlier(String element) {
    boolean isProgram = element.startsWith(ROOT) && !element.contains("test-classes");
    return isProgram ? earlierBuild.orElseThrow() + element.substring(ROOT.length()) : element;
  }
}
