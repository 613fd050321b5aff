package org.ploverspindle.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

/**
 * Reads the platform's settings from TOML. Unknown fields are ignored. Every missing or invalid
 * field is reported by name in one exception, so that an operator can correct all of them at once.
 */
public final class SettingsFile {
  private SettingsFile() {}

  /**
   * Reads a file.
   *
   * @throws InvalidSettingsException with every problem that was found
   */
  public static Settings load(Path path) throws InvalidSettingsException {
    try {
      return parse(path.toString(), Files.readString(path));
    } catch (NoSuchFileException e) {
      throw invalid(path.toString(), 0, "file not found");
    } catch (IOException e) {
      throw invalid(path.toString(), 0, "the file can't be read: " + e.getMessage());
    }
  }

  /**
   * Reads settings from a string.
   *
   * @param file the file name that is shown with each problem
   * @throws InvalidSettingsException with every problem that was found
   */
  public static Settings parse(String file, String text) throws InvalidSettingsException {
    JsonNode root = readTree(file, text);
    SettingsProblems problems = new SettingsProblems(file, text);
    Settings settings = SettingsReader.read(TomlSection.root(root, problems));
    SettingsRules.check(settings, problems);
    if (!problems.isEmpty()) {
      throw new InvalidSettingsException(problems.list());
    }
    return settings;
  }

  private static JsonNode readTree(String file, String text) throws InvalidSettingsException {
    try {
      return new ObjectMapper(new TomlFactory()).readTree(text);
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      int line = location == null ? 0 : location.getLineNr();
      throw invalid(file, line, "invalid TOML: " + e.getOriginalMessage());
    }
  }

  private static InvalidSettingsException invalid(String file, int line, String message) {
    return new InvalidSettingsException(List.of(new SettingsProblem(file, line, "", message)));
  }
}
