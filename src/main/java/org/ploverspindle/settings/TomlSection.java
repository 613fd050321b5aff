package org.ploverspindle.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A table of the settings file, with its place in it. Fields that are missing or invalid are
 * reported, and read as a replacement. In a table that is missing, which is reported once, no field
 * is reported.
 */
final class TomlSection {
  private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;
  private static final Address NO_ADDRESS = new Address("0.0.0.0", 0);
  private static final String MISSING = "is missing";

  private final JsonNode node;

  /** The table's name with those of the tables around it; empty for the whole file. */
  private final String path;

  private final SettingsProblems problems;

  private TomlSection(JsonNode node, String path, SettingsProblems problems) {
    this.node = node;
    this.path = path;
    this.problems = problems;
  }

  /** The whole file. */
  static TomlSection root(JsonNode node, SettingsProblems problems) {
    return new TomlSection(node, "", problems);
  }

  private String pathOf(String field) {
    return path.isEmpty() ? field : path + "." + field;
  }

  /** Reports a problem of a field of this table. */
  void report(String field, String message) {
    problems.report(pathOf(field), message);
  }

  private TomlSection subsection(String field, JsonNode value) {
    return new TomlSection(value, pathOf(field), problems);
  }

  /** A table that is required. */
  TomlSection requiredTable(String field) {
    JsonNode table = node.path(field);
    if (table.isObject()) {
      return subsection(field, table);
    }
    if (!node.isMissingNode()) {
      report(field, "this table is missing");
    }
    return subsection(field, MissingNode.getInstance());
  }

  /** A table that may be absent; also empty when it is something else, which is reported. */
  Optional<TomlSection> optionalTable(String field) {
    JsonNode table = node.path(field);
    if (table.isObject()) {
      return Optional.of(subsection(field, table));
    }
    if (!table.isMissingNode()) {
      report(field, "must be a table");
    }
    return Optional.empty();
  }

  /** The tables of a list, which may be absent. */
  List<TomlSection> optionalTableList(String field) {
    JsonNode list = node.path(field);
    if (!list.isMissingNode() && !list.isArray()) {
      report(field, "must be a list of tables");
    }
    List<TomlSection> tables = new ArrayList<>();
    if (list.isArray()) {
      list.forEach(table -> tables.add(subsection(field, table)));
    }
    return tables;
  }

  /**
   * The texts of a list.
   *
   * @param ifEmpty message if there is no list, or none of its elements
   * @param ifInvalid message for each element that is not a text, or is blank
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
        report(field, ifInvalid);
      } else {
        strings.add(element.asText());
      }
    }
    return strings;
  }

  /** A text that is required; empty if it has a problem. */
  String requiredString(String field) {
    if (node.isMissingNode()) {
      return "";
    }
    JsonNode value = node.path(field);
    if (!value.isTextual() || value.asText().isBlank()) {
      report(field, value.isMissingNode() ? MISSING : "must be a text that is not empty");
      return "";
    }
    return value.asText();
  }

  /** A text that is optional and not checked. */
  String uncheckedString(String field, String defaultValue) {
    return node.path(field).asText(defaultValue);
  }

  /** A number that is optional and not checked. */
  double uncheckedNumber(String field, double defaultValue) {
    return node.path(field).asDouble(defaultValue);
  }

  /** A number that is required, and not below the least; the least if it has a problem. */
  double requiredNumber(String field, double min) {
    if (node.isMissingNode()) {
      return min;
    }
    JsonNode value = node.path(field);
    if (!value.isNumber() || !Double.isFinite(value.asDouble()) || value.asDouble() < min) {
      report(field, value.isMissingNode() ? MISSING : "must be a number, " + min + " or more");
      return min;
    }
    return value.asDouble();
  }

  /** The same for a number that is optional. */
  double optionalNumber(String field, double min, double defaultValue) {
    return node.path(field).isMissingNode() ? defaultValue : requiredNumber(field, min);
  }

  /** An address that is required. */
  Address requiredAddress(String field) {
    String text = requiredString(field);
    if (text.isEmpty()) {
      return NO_ADDRESS;
    }
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
      report(field, "must be an IP number and a port, as in 10.0.0.1:8080");
      return NO_ADDRESS;
    }
    return new Address(matcher.group(1), Integer.parseInt(matcher.group(2)));
  }
}
