package org.ploverspindle.settings;

/** Something wrong in a file of settings: where it stands and what is expected. */
public record SettingsProblem(String file, int line, String field, String message) {
  @Override
  public String toString() {
    String place = line > 0 ? file + ":" + line : file;
    return field.isEmpty() ? place + ": " + message : place + ": " + field + ": " + message;
  }
}
