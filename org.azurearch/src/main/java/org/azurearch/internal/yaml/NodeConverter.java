package org.azurearch.internal.yaml;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlList;
import org.azurearch.yaml.YamlMapping;
import org.azurearch.yaml.YamlNode;
import org.azurearch.yaml.YamlScalar;
import org.jspecify.annotations.Nullable;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * Converts the node graph that SnakeYAML composes for one document to a tree, with aliases
 * expanded. An instance converts a single document.
 */
public final class NodeConverter {
    /** The maximum number of nodes of a document after its aliases are expanded. */
    public static final int MAX_NODES = 200_000;

    private final String mFile;
    private final Set<Node> mAncestors = Collections.newSetFromMap(new IdentityHashMap<>());
    private final List<Problem> mProblems = new ArrayList<>();
    private int mNodeCount;

    /**
     * Creates a converter for one document.
     *
     * @param file the name of the source, for locations
     */
    public NodeConverter(String file) {
        mFile = file;
    }

    /**
     * Converts the root.
     *
     * @throws InvalidInputException with all duplicate keys and unknown tags, or with the alias
     *     that refers to itself or expands beyond the limit
     */
    public YamlNode convert(Node root) {
        YamlNode converted = convertNode(root);
        if (!mProblems.isEmpty()) {
            throw new InvalidInputException(mProblems);
        }
        return converted;
    }

    private YamlNode convertNode(Node node) {
        mNodeCount++;
        if (mNodeCount > MAX_NODES) {
            throw new InvalidInputException(
                    List.of(
                            problem(
                                    ErrorCode.YAML_ALIAS,
                                    node,
                                    "the document expands to more than " + MAX_NODES + " nodes")));
        }
        if (!mAncestors.add(node)) {
            throw new InvalidInputException(
                    List.of(problem(ErrorCode.YAML_ALIAS, node, "an alias refers to itself")));
        }
        YamlNode converted = convertContent(node);
        mAncestors.remove(node);
        return converted;
    }

    private YamlNode convertContent(Node node) {
        if (node instanceof MappingNode mapping) {
            expectTag(node, Tag.MAP);
            return convertMapping(mapping);
        }
        if (node instanceof SequenceNode sequence) {
            expectTag(node, Tag.SEQ);
            List<YamlNode> items = new ArrayList<>();
            for (Node item : sequence.getValue()) {
                items.add(convertNode(item));
            }
            return new YamlList(items, locationOf(node));
        }
        return new YamlScalar(scalarValue((ScalarNode) node), locationOf(node));
    }

    private YamlMapping convertMapping(MappingNode mapping) {
        Map<String, YamlEntry> entries = new LinkedHashMap<>();
        for (NodeTuple tuple : mapping.getValue()) {
            Node keyNode = tuple.getKeyNode();
            String key = keyText(keyNode);
            YamlNode value = convertNode(tuple.getValueNode());
            YamlEntry entry = new YamlEntry(key, locationOf(keyNode), value);
            YamlEntry first = entries.putIfAbsent(key, entry);
            if (first != null) {
                String message =
                        "duplicate key '" + key + "', first on line " + first.location().line();
                mProblems.add(problem(ErrorCode.YAML_DUPLICATE_KEY, keyNode, message));
            }
        }
        return new YamlMapping(entries, locationOf(mapping));
    }

    private String keyText(Node node) {
        if (node instanceof ScalarNode scalar && !Tag.MERGE.equals(node.getTag())) {
            return scalar.getValue();
        }
        mProblems.add(problem(ErrorCode.YAML_SYNTAX, node, "expected a text as key"));
        return "";
    }

    private @Nullable Object scalarValue(ScalarNode node) {
        Tag tag = node.getTag();
        String text = node.getValue();
        if (Tag.STR.equals(tag)) {
            return text;
        }
        if (Tag.NULL.equals(tag)) {
            return null;
        }
        if (Tag.BOOL.equals(tag) && ("true".equals(text) || "false".equals(text))) {
            return Boolean.valueOf(text);
        }
        if (Tag.INT.equals(tag) || Tag.FLOAT.equals(tag)) {
            return numberValue(node, tag);
        }
        return addTagProblem(node);
    }

    private @Nullable Object numberValue(ScalarNode node, Tag tag) {
        try {
            return Tag.INT.equals(tag)
                    ? (Object) Long.valueOf(node.getValue())
                    : Double.valueOf(node.getValue());
        } catch (NumberFormatException e) {
            return addTagProblem(node);
        }
    }

    private @Nullable Object addTagProblem(ScalarNode node) {
        String message = "tag " + node.getTag().getValue() + " does not fit the value";
        mProblems.add(problem(ErrorCode.YAML_SYNTAX, node, message));
        return null;
    }

    private void expectTag(Node node, Tag expected) {
        if (!expected.equals(node.getTag())) {
            String message = "tag " + node.getTag().getValue() + " is not allowed";
            mProblems.add(problem(ErrorCode.YAML_SYNTAX, node, message));
        }
    }

    private Problem problem(ErrorCode code, Node node, String message) {
        return new Problem(code, locationOf(node), message);
    }

    private SourceLocation locationOf(Node node) {
        return new SourceLocation(mFile, node.getStartMark().getLine() + 1);
    }
}
