package org.ploverspindle.settings;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.regex.Pattern;

/** Collects the problems of a settings file, each with the line that most likely has the error. */
final class SettingsProblems {
  private final String file;
  private final List<String> lines;
  private final List<SettingsProblem> problems = new ArrayList<>();

  SettingsProblems(String file, String text) {
    this.file = file;
    this.lines = text.lines().toList();
  }

  boolean isEmpty() {
    return problems.isEmpty();
  }

  /** All problems, in the order in which they were reported. */
  List<SettingsProblem> list() {
    return Collections.unmodifiableList(problems);
  }

  /**
   * Adds a problem.
   *
   * @param field the field's name with those of the tables around it
   */
  void report(String field, String message) {
    problems.add(new SettingsProblem(file, lineOf(field), field, message));
  }

  /**
   * The number of the first line that sets the field below a header of its table. If there is none,
   * the line of the table's first header, or of the assignment that defines the table; 0 if there
   * is none either.
   */
  private int lineOf(String field) {
    String table = parentTable(field);
    Pattern header = Pattern.compile("\\s*\\[\\[?\\s*" + Pattern.quote(table) + "\\s*]]?.*");
    Pattern assignment = Pattern.compile("\\s*" + Pattern.quote(lastName(field)) + "\\s*=.*");
    int headerLine = 0;
    boolean inTable = table.isEmpty();
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i);
      if (line.stripLeading().startsWith("[")) {
        inTable = header.matcher(line).matches();
        headerLine = inTable && headerLine == 0 ? i + 1 : headerLine;
      } else if (inTable && assignment.matcher(line).matches()) {
        return i + 1;
      }
    }
    return headerLine == 0 ? lineOfInlineTable(table) : headerLine;
  }

  /** The first line that defines a table by an inline table or by dotted keys; 0 if none does. */
  private int lineOfInlineTable(String table) {
    if (table.isEmpty()) {
      return 0;
    }
    Pattern assignment = Pattern.compile("\\s*" + Pattern.quote(lastName(table)) + "\\s*[.=].*");
    String parent = parentTable(table);
    String current = "";
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i).strip();
      if (line.startsWith("[")) {
        current = line.replaceAll("[\\[\\]\\s]|#.*", "");
      } else if (current.equals(parent) && assignment.matcher(line).matches()) {
        return i + 1;
      }
    }
    return 0;
  }

  /** The name of the table that a field is in; empty for a field of the root table. */
  private static String parentTable(String field) {
    return field.contains(".") ? field.substring(0, field.lastIndexOf('.')) : "";
  }

  private static String lastName(String field) {
    return field.substring(field.lastIndexOf('.') + 1);
  }
}
