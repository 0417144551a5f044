package org.azurearch.internal.yaml;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonNodePath;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.yaml.NameSuggester;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlList;
import org.azurearch.yaml.YamlMapping;
import org.azurearch.yaml.YamlNode;

/** Validates YAML against a JSON schema; problems name the line and the expected value. */
public final class SchemaValidator {
    private final JsonNode mRoot;
    private final JsonSchema mSchema;

    private SchemaValidator(JsonNode root) {
        mRoot = root;
        mSchema =
                JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                        .getSchema(
                                root,
                                SchemaValidatorsConfig.builder()
                                        .pathType(PathType.JSON_POINTER)
                                        .locale(Locale.ROOT)
                                        .build());
        mSchema.initializeValidators();
    }

    /**
     * Loads a schema from a resource.
     *
     * @param anchor a class in the package of the resource
     * @param resource the name of the resource
     */
    public static SchemaValidator ofResource(Class<?> anchor, String resource) {
        try (InputStream input = anchor.getResourceAsStream(resource)) {
            if (input == null) {
                throw new IllegalStateException("missing resource " + resource);
            }
            return new SchemaValidator(new ObjectMapper().readTree(input));
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the resource " + resource, e);
        }
    }

    /** Returns all problems of a document, sorted by line and then by text. */
    public List<Problem> validate(YamlMapping document) {
        List<Problem> problems = new ArrayList<>();
        for (ValidationMessage message : mSchema.validate(JsonForm.toJson(document))) {
            problems.add(toProblem(document, message));
        }
        return sorted(problems);
    }

    /** Returns problems sorted by file, line and text, each once. */
    public static List<Problem> sorted(List<Problem> problems) {
        return problems.stream()
                .distinct()
                .sorted(
                        Comparator.comparing((Problem problem) -> problem.location().file())
                                .thenComparing(problem -> problem.location().line())
                                .thenComparing(Problem::message))
                .toList();
    }

    private Problem toProblem(YamlMapping document, ValidationMessage message) {
        JsonNodePath path = message.getInstanceLocation();
        YamlNode node = nodeAt(document, path, path.getNameCount());
        SourceLocation location = locationAt(document, path);
        String atPath = path.getNameCount() == 0 ? "" : " at " + dottedPath(path);
        String keyword = message.getType();
        JsonNode keywordValue = keywordValue(message);
        return switch (keyword) {
            case "additionalProperties" -> unknownKey(node, message, atPath);
            case "required" ->
                    new Problem(
                            ErrorCode.MISSING_KEY,
                            location,
                            "missing key '" + message.getProperty() + "'" + atPath);
            case "type" ->
                    new Problem(
                            ErrorCode.WRONG_TYPE,
                            location,
                            "expected "
                                    + SchemaDescriptions.describeType(keywordValue)
                                    + atPath
                                    + foundSuffix(node));
            case "pattern" -> {
                boolean isName = dottedPath(path).isEmpty();
                yield new Problem(
                        isName ? ErrorCode.BAD_NAME : ErrorCode.WRONG_TYPE,
                        location,
                        "expected "
                                + SchemaDescriptions.describePattern(keywordValue.asText())
                                + atPath
                                + foundSuffix(node));
            }
            case "propertyNames" ->
                    new Problem(
                            ErrorCode.BAD_NAME,
                            keyLocation(node, message).orElse(location),
                            "key '"
                                    + message.getProperty()
                                    + "'"
                                    + atPath
                                    + " is not "
                                    + SchemaDescriptions.NAME);
            default ->
                    new Problem(
                            ErrorCode.OUT_OF_RANGE,
                            location,
                            "expected "
                                    + SchemaDescriptions.describeConstraint(keyword, keywordValue)
                                    + atPath
                                    + foundSuffix(node));
        };
    }

    private Problem unknownKey(YamlNode node, ValidationMessage message, String atPath) {
        String key = String.valueOf(message.getProperty());
        SourceLocation location = keyLocation(node, message).orElse(node.location());
        List<String> allowedKeys = new ArrayList<>();
        enclosingSchema(message).path("properties").fieldNames().forEachRemaining(allowedKeys::add);
        String hint =
                NameSuggester.suggest(key, allowedKeys)
                        .map(suggestion -> "; did you mean '" + suggestion + "'?")
                        .orElse("; expected one of " + String.join(", ", allowedKeys));
        return new Problem(
                ErrorCode.UNKNOWN_KEY, location, "unknown key '" + key + "'" + atPath + hint);
    }

    private static Optional<SourceLocation> keyLocation(YamlNode node, ValidationMessage message) {
        String key = message.getProperty();
        return node instanceof YamlMapping mapping
                ? Optional.ofNullable(mapping.entries().get(String.valueOf(key)))
                        .map(YamlEntry::location)
                : Optional.empty();
    }

    private JsonNode keywordValue(ValidationMessage message) {
        return enclosingSchema(message).path(message.getType());
    }

    /** Returns the subschema that contains the failed keyword. */
    private JsonNode enclosingSchema(ValidationMessage message) {
        JsonNodePath path = message.getSchemaLocation().getFragment();
        JsonNode node = mRoot;
        for (int i = 0; i < path.getNameCount() - 1; i++) {
            Object element = path.getElement(i);
            node =
                    element instanceof Integer index
                            ? node.path(index)
                            : node.path(String.valueOf(element));
        }
        return node;
    }

    private static SourceLocation locationAt(YamlMapping document, JsonNodePath path) {
        int last = path.getNameCount() - 1;
        if (last >= 0 && nodeAt(document, path, last) instanceof YamlMapping parent) {
            YamlEntry entry = parent.entries().get(path.getName(last));
            if (entry != null) {
                return entry.location();
            }
        }
        return nodeAt(document, path, path.getNameCount()).location();
    }

    private static YamlNode nodeAt(YamlMapping document, JsonNodePath path, int depth) {
        YamlNode node = document;
        for (int i = 0; i < depth; i++) {
            Object element = path.getElement(i);
            if (node instanceof YamlMapping mapping) {
                node = mapping.value(String.valueOf(element)).orElse(node);
            } else if (node instanceof YamlList list && element instanceof Integer index) {
                node = list.items().get(index);
            }
        }
        return node;
    }

    private static String dottedPath(JsonNodePath path) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < path.getNameCount(); i++) {
            Object element = path.getElement(i);
            if (element instanceof Integer) {
                text.append('[').append(element).append(']');
            } else {
                text.append(i == 0 ? "" : ".").append(element);
            }
        }
        return text.toString();
    }

    private static String foundSuffix(YamlNode node) {
        return ", found " + node.description();
    }
}
