package org.azurearch.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.internal.yaml.JsonForm;
import org.azurearch.internal.yaml.SchemaValidator;
import org.azurearch.yaml.YamlMapping;
import org.azurearch.yaml.YamlReader;

/** Reads the settings of a node and validates them against their schema. */
public final class SettingsFile {
    private static final SchemaValidator SCHEMA =
            SchemaValidator.ofResource(SettingsFile.class, "node-settings.schema.json");

    private SettingsFile() {}

    /**
     * Reads a settings file.
     *
     * @param path the file
     * @return the root section
     * @throws InvalidInputException listing all problems with file and line
     */
    public static SettingsSection read(Path path) {
        try {
            return parse(path.toString(), Files.readAllBytes(path));
        } catch (IOException e) {
            SourceLocation location = new SourceLocation(path.toString(), 0);
            String message = "cannot read the file: " + e.getMessage();
            throw new InvalidInputException(
                    List.of(new Problem(ErrorCode.NOT_FOUND, location, message)));
        }
    }

    /**
     * Parses settings.
     *
     * @param file the name of the source, for messages
     * @param bytes the YAML text in UTF-8
     * @return the root section
     * @throws InvalidInputException listing all problems with file and line
     */
    public static SettingsSection parse(String file, byte[] bytes) {
        YamlMapping root = YamlReader.readMapping(file, bytes);
        List<Problem> problems = SCHEMA.validate(root);
        if (!problems.isEmpty()) {
            throw new InvalidInputException(problems);
        }
        return new SettingsSection("", JsonForm.toPlainObject(root));
    }
}
