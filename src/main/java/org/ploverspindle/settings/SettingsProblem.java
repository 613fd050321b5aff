package org.ploverspindle.settings;

/**
 * Something wrong in a file of settings.
 *
 * @param line the line that it is most likely about, from 1; 0 if unknown
 * @param field the field's name with those of the tables around it; empty for the file as a whole
 * @param message what is expected
 */
public record SettingsProblem(String file, int line, String field, String message) {
  @Override
  public String toString() {
    String place = line > 0 ? file + ":" + line : file;
    return field.isEmpty() ? place + ": " + message : place + ": " + field + ": " + message;
  }
}
