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

  private TomlSection inner(String field, JsonNode inner) {
    return new TomlSection(inner, pathOf(field), problems);
  }

  /** A table that is required. */
  TomlSection table(String field) {
    JsonNode table = node.path(field);
    if (table.isObject()) {
      return inner(field, table);
    }
    if (!node.isMissingNode()) {
      report(field, "this table is missing");
    }
    return inner(field, MissingNode.getInstance());
  }

  /** A table that may be absent; also empty when it is something else, which is reported. */
  Optional<TomlSection> optionalTable(String field) {
    JsonNode table = node.path(field);
    if (table.isObject()) {
      return Optional.of(inner(field, table));
    }
    if (!table.isMissingNode()) {
      report(field, "must be a table");
    }
    return Optional.empty();
  }

  /** The tables of a list, which may be absent. */
  List<TomlSection> tables(String field) {
    JsonNode list = node.path(field);
    if (!list.isMissingNode() && !list.isArray()) {
      report(field, "must be a list of tables");
    }
    List<TomlSection> tables = new ArrayList<>();
    if (list.isArray()) {
      list.forEach(table -> tables.add(inner(field, table)));
    }
    return tables;
  }

  /**
   * The texts of a list.
   *
   * @param ifEmpty message if there is no list, or none of its elements
   * @param ifInvalid message for each element that is not a text, or is blank
   */
  List<String> texts(String field, String ifEmpty, String ifInvalid) {
    List<String> texts = new ArrayList<>();
    JsonNode list = node.path(field);
    if (!list.isArray() || list.isEmpty()) {
      report(field, ifEmpty);
      return texts;
    }
    for (JsonNode element : list) {
      if (!element.isTextual() || element.asText().isBlank()) {
        report(field, ifInvalid);
      } else {
        texts.add(element.asText());
      }
    }
    return texts;
  }

  /** A text that is required; empty if it has a problem. */
  String text(String field) {
    if (node.isMissingNode()) {
      return "";
    }
    JsonNode text = node.path(field);
    if (!text.isTextual() || text.asText().isBlank()) {
      report(field, text.isMissingNode() ? MISSING : "must be a text that is not empty");
      return "";
    }
    return text.asText();
  }

  /** A text that is optional and not checked. */
  String textOr(String field, String absent) {
    return node.path(field).asText(absent);
  }

  /** A number that is optional and not checked. */
  double numberOr(String field, double absent) {
    return node.path(field).asDouble(absent);
  }

  /** A number that is required, and not below the least; the least if it has a problem. */
  double amount(String field, double least) {
    if (node.isMissingNode()) {
      return least;
    }
    JsonNode amount = node.path(field);
    if (!amount.isNumber() || !Double.isFinite(amount.asDouble()) || amount.asDouble() < least) {
      report(field, amount.isMissingNode() ? MISSING : "must be a number, " + least + " or more");
      return least;
    }
    return amount.asDouble();
  }

  /** The same for a number that is optional. */
  double amountOr(String field, double least, double absent) {
    return node.path(field).isMissingNode() ? absent : amount(field, least);
  }

  /** An address that is required. */
  Address address(String field) {
    String text = text(field);
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
