package org.ploverspindle.settings;

/**
 * An error in a settings or policy file.
 *
 * @param line number of the line that most likely has the error, counted from 1; 0 if unknown
 * @param field the field's name with those of the tables around it; empty if the error concerns the
 *     file as a whole
 * @param message what is wrong and what is expected
 */
public record SettingsProblem(String file, int line, String field, String message) {
  @Override
  public String toString() {
    String place = line > 0 ? file + ":" + line : file;
    return field.isEmpty() ? place + ": " + message : place + ": " + field + ": " + message;
  }
}
