package org.azurearch.yaml;

import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.internal.yaml.NodeConverter;
import org.azurearch.internal.yaml.StrictResolver;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.representer.Representer;

/**
 * Reads one YAML document into nodes.
 *
 * <p>Accepts only the values of YAML's JSON schema: text, whole numbers, decimals, true, false,
 * null, lists and mappings with text keys. Rejects other tags, duplicate keys, merge keys, aliases
 * that refer to themselves or expand beyond {@value NodeConverter#MAX_NODES} nodes, more than one
 * document, and input that is not UTF-8, is larger than {@value #MAX_BYTES} bytes or nests deeper
 * than {@value #MAX_DEPTH} levels.
 */
public final class YamlReader {
    /** The largest document, in bytes. */
    public static final int MAX_BYTES = 512 * 1024;

    /** The deepest nesting, in levels. */
    public static final int MAX_DEPTH = 32;

    private YamlReader() {}

    /**
     * Reads a document whose root is a mapping.
     *
     * @param file the name of the source, for messages
     * @param bytes the document in UTF-8
     * @throws InvalidInputException when the document is rejected
     */
    public static YamlMapping readMapping(String file, byte[] bytes) {
        YamlNode root = read(file, bytes);
        if (root instanceof YamlMapping mapping) {
            return mapping;
        }
        throw inputException(
                ErrorCode.WRONG_TYPE,
                root.location(),
                "expected a mapping at the root, found " + root.description());
    }

    /**
     * Reads a document.
     *
     * @param file the name of the source, for messages
     * @param bytes the document in UTF-8
     * @throws InvalidInputException when the document is rejected
     */
    public static YamlNode read(String file, byte[] bytes) {
        String text = decode(file, bytes);
        Node root;
        try {
            root = yaml().compose(new StringReader(text));
        } catch (YAMLException e) {
            throw inputException(codeOf(e), locationOf(file, e), messageOf(e));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            // SnakeYAML throws these instead of YAMLException for some malformed escapes.
            String message = "the document is not well-formed: " + e.getMessage();
            throw inputException(ErrorCode.YAML_SYNTAX, new SourceLocation(file, 0), message);
        }
        if (root == null) {
            throw inputException(
                    ErrorCode.YAML_SYNTAX, new SourceLocation(file, 0), "the document is empty");
        }
        return new NodeConverter(file).convert(root);
    }

    private static String decode(String file, byte[] bytes) {
        SourceLocation wholeFile = new SourceLocation(file, 0);
        if (bytes.length > MAX_BYTES) {
            throw inputException(
                    ErrorCode.TOO_LARGE,
                    wholeFile,
                    bytes.length + " bytes are more than the limit of " + MAX_BYTES);
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(buffer).toString();
        } catch (CharacterCodingException e) {
            int line = 1;
            for (int i = 0; i < buffer.position(); i++) {
                line += bytes[i] == '\n' ? 1 : 0;
            }
            throw inputException(
                    ErrorCode.NOT_UTF8, new SourceLocation(file, line), "the text is not UTF-8");
        }
    }

    private static Yaml yaml() {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_BYTES);
        options.setNestingDepthLimit(MAX_DEPTH);
        options.setAllowDuplicateKeys(false);
        DumperOptions dumper = new DumperOptions();
        return new Yaml(
                new SafeConstructor(options),
                new Representer(dumper),
                dumper,
                options,
                new StrictResolver());
    }

    private static ErrorCode codeOf(YAMLException e) {
        String message = String.valueOf(e.getMessage());
        return message.contains("aliases") ? ErrorCode.YAML_ALIAS : ErrorCode.YAML_SYNTAX;
    }

    private static SourceLocation locationOf(String file, YAMLException e) {
        if (e instanceof MarkedYAMLException marked && marked.getProblemMark() != null) {
            return new SourceLocation(file, marked.getProblemMark().getLine() + 1);
        }
        return new SourceLocation(file, 0);
    }

    private static String messageOf(YAMLException e) {
        if (e instanceof MarkedYAMLException marked && marked.getProblem() != null) {
            return marked.getProblem();
        }
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("not well-formed");
    }

    private static InvalidInputException inputException(
            ErrorCode code, SourceLocation location, String message) {
        return new InvalidInputException(List.of(new Problem(code, location, message)));
    }
}
