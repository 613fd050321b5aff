package org.ploverspindle.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Settings that cannot be used, with every problem found in them. */
public final class InvalidSettings extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<Problem> problems;

  public InvalidSettings(List<Problem> problems) {
    super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  public List<Problem> problems() {
    return problems;
  }
}
