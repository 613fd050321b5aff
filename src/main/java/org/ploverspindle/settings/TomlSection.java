package org.ploverspindle.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A table of the settings file, together with its path. A field that is missing or invalid is
 * reported as a problem, and a placeholder is returned for it. A required table that is missing is
 * reported once; its strings, numbers, addresses and tables are not reported.
 */
final class TomlSection {
  private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;
  private static final Address NO_ADDRESS = new Address("0.0.0.0", 0);
  private static final String MISSING = "this required field is missing";

  private final JsonNode node;

  /** The table's name with those of the tables around it; empty for the root table. */
  private final String path;

  private final SettingsProblems problems;

  private TomlSection(JsonNode node, String path, SettingsProblems problems) {
    this.node = node;
    this.path = path;
    this.problems = problems;
  }

  /** The root table of the file. */
  static TomlSection root(JsonNode node, SettingsProblems problems) {
    return new TomlSection(node, "", problems);
  }

  private String pathOf(String field) {
    return path.isEmpty() ? field : path + "." + field;
  }

  /** Reports a problem with a field of this table. */
  void report(String field, String message) {
    problems.report(pathOf(field), message);
  }

  private TomlSection subsection(String field, JsonNode value) {
    return new TomlSection(value, pathOf(field), problems);
  }

  /**
   * Reads a required table. Reports a problem if it is missing or not a table, unless this table is
   * itself missing.
   */
  TomlSection requiredTable(String field) {
    JsonNode table = node.path(field);
    if (table.isObject()) {
      return subsection(field, table);
    }
    if (!node.isMissingNode()) {
      report(field, "this required table is missing or not a table");
    }
    return subsection(field, MissingNode.getInstance());
  }

  /** Reads an optional table. A value that is not a table is reported, and the result is empty. */
  Optional<TomlSection> optionalTable(String field) {
    JsonNode table = node.path(field);
    if (table.isObject()) {
      return Optional.of(subsection(field, table));
    }
    if (!table.isMissingNode()) {
      report(field, "must be a table, and is " + table);
    }
    return Optional.empty();
  }

  /** Reads an optional list of tables. A value that is not a list is reported and read as empty. */
  List<TomlSection> optionalTableList(String field) {
    JsonNode list = node.path(field);
    if (!list.isMissingNode() && !list.isArray()) {
      report(field, "must be a list of tables, and is " + list);
    }
    List<TomlSection> tables = new ArrayList<>();
    if (list.isArray()) {
      list.forEach(table -> tables.add(subsection(field, table)));
    }
    return tables;
  }

  /**
   * Reads a required list of strings.
   *
   * @param ifEmpty message if the value is not a list, or the list is missing or empty
   * @param ifInvalid message for each element that is not a string or is blank; the element's value
   *     is appended to it
   */
  List<String> requiredStrings(String field, String ifEmpty, String ifInvalid) {
    List<String> strings = new ArrayList<>();
    JsonNode list = node.path(field);
    if (!list.isArray() || list.isEmpty()) {
      report(field, ifEmpty);
      return strings;
    }
    for (JsonNode element : list) {
      if (!element.isTextual() || element.asText().isBlank()) {
        report(field, ifInvalid + ", and one is " + element);
      } else {
        strings.add(element.asText());
      }
    }
    return strings;
  }

  /** Reads a required string that is not blank; returns an empty one if it is invalid. */
  String requiredString(String field) {
    if (node.isMissingNode()) {
      return "";
    }
    JsonNode value = node.path(field);
    if (!value.isTextual() || value.asText().isBlank()) {
      report(
          field,
          value.isMissingNode() ? MISSING : "must be a string that is not blank, and is " + value);
      return "";
    }
    return value.asText();
  }

  /** Reads an optional value as a string, without a check. */
  String uncheckedString(String field, String defaultValue) {
    return node.path(field).asText(defaultValue);
  }

  /** Reads an optional value as a number, without a check. */
  double uncheckedNumber(String field, double defaultValue) {
    return node.path(field).asDouble(defaultValue);
  }

  /** Reads a required finite number of at least {@code min}; returns the minimum if invalid. */
  double requiredNumber(String field, double min) {
    if (node.isMissingNode()) {
      return min;
    }
    JsonNode value = node.path(field);
    if (!value.isNumber() || !Double.isFinite(value.asDouble()) || value.asDouble() < min) {
      report(
          field,
          value.isMissingNode()
              ? MISSING
              : "must be a finite number of at least " + min + ", and is " + value);
      return min;
    }
    return value.asDouble();
  }

  /**
   * Reads an optional finite number of at least {@code min}. Returns the default value if it is
   * missing, and the minimum if it is invalid.
   */
  double optionalNumber(String field, double min, double defaultValue) {
    return node.path(field).isMissingNode() ? defaultValue : requiredNumber(field, min);
  }

  /** Reads a required IPv4 address with a port; returns 0.0.0.0:0 if it is invalid. */
  Address requiredAddress(String field) {
    String text = requiredString(field);
    if (text.isEmpty()) {
      return NO_ADDRESS;
    }
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
      report(
          field,
          "must be an IPv4 address and a port of at most "
              + MAX_PORT
              + ", as in 10.0.0.1:8080, and is \""
              + text
              + "\"");
      return NO_ADDRESS;
    }
    return new Address(matcher.group(1), Integer.parseInt(matcher.group(2)));
  }
}
