package org.ploverspindle.state;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.Priority;

/** The stored names of enum constants, which stay the same if a constant is renamed in the code. */
final class StoredNames {
  private StoredNames() {}

  static String of(JobKind kind) {
    return switch (kind) {
      case BATCH -> "batch";
      case GANG -> "gang";
      case SERVICE -> "service";
    };
  }

  static String of(Priority priority) {
    return switch (priority) {
      case CRITICAL -> "critical";
      case HIGH -> "high";
      case NORMAL -> "normal";
      case BEST_EFFORT -> "best_effort";
    };
  }

  /** Returns the job kind with this stored name, ignoring case; empty if there is none. */
  static Optional<JobKind> kind(String name) {
    return find(JobKind.values(), StoredNames::of, name);
  }

  /** Returns the priority with this stored name, ignoring case; empty if there is none. */
  static Optional<Priority> priority(String name) {
    return find(Priority.values(), StoredNames::of, name);
  }

  private static <T> Optional<T> find(T[] values, Function<T, String> storedName, String name) {
    String lowerCase = name.toLowerCase(Locale.ROOT);
    return Arrays.stream(values)
        .filter(constant -> storedName.apply(constant).equals(lowerCase))
        .findFirst();
  }
}
