package org.azurearch.internal.config;

import java.util.ArrayList;
import java.util.List;
import org.azurearch.config.SiteConfig;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.internal.yaml.SchemaValidator;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlMapping;
import org.azurearch.yaml.YamlReader;
import org.jspecify.annotations.Nullable;

/**
 * A document that is well-formed and conforms to the schema.
 *
 * @param firm the firm that it belongs to
 * @param site the site of an overlay, or null for a base
 * @param root the content
 */
public record ParsedDocument(FirmId firm, @Nullable SiteId site, YamlMapping root) {
    private static final SchemaValidator SCHEMA =
            SchemaValidator.ofResource(SiteConfig.class, "document.schema.json");

    private static final String SITE = "site";
    private static final String OVERLAY = "overlay";
    private static final String REMOVE = "remove";

    /**
     * Parses a document.
     *
     * @param file the name of the source, for messages
     * @param text the YAML text in UTF-8
     * @throws InvalidInputException with every problem found
     */
    public static ParsedDocument parse(String file, byte[] text) {
        YamlMapping root = YamlReader.readMapping(file, text);
        List<Problem> problems = new ArrayList<>(SCHEMA.validate(root));
        if (problems.isEmpty()) {
            checkKind(root, problems);
        }
        if (!problems.isEmpty()) {
            throw new InvalidInputException(problems);
        }
        return new ParsedDocument(
                FirmId.fromString(root.text("firm").orElseThrow()),
                root.text(SITE).map(SiteId::fromString).orElse(null),
                root);
    }

    private static void checkKind(YamlMapping root, List<Problem> problems) {
        boolean overlay = root.text("kind").orElse("").equals(OVERLAY);
        if (overlay && root.value(SITE).isEmpty()) {
            String message = "missing key 'site': an overlay names its site";
            problems.add(new Problem(ErrorCode.MISSING_KEY, keyLocation(root, "kind"), message));
        }
        if (!overlay) {
            rejectInBase(root, SITE, problems);
            rejectInBase(root, REMOVE, problems);
        }
    }

    private static void rejectInBase(YamlMapping root, String key, List<Problem> problems) {
        if (root.value(key).isPresent()) {
            String message = "key '" + key + "' belongs into an overlay, not into a base";
            problems.add(new Problem(ErrorCode.BAD_OVERLAY, keyLocation(root, key), message));
        }
    }

    private static SourceLocation keyLocation(YamlMapping root, String key) {
        YamlEntry entry = root.entries().get(key);
        return entry == null ? root.location() : entry.location();
    }
}
