package org.ploverspindle.state;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.Priority;

/** The names under which enum constants are stored; independent of the constants' names. */
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

  /** The kind that is stored under this name, in upper or lower case. */
  static Optional<JobKind> kind(String name) {
    return find(JobKind.values(), StoredNames::of, name);
  }

  /** The priority that is stored under this name, in upper or lower case. */
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
