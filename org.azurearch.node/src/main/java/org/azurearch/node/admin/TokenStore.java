package org.azurearch.node.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.azurearch.lib.Digest;
import org.azurearch.settings.SettingsSection;

/** The bearer tokens of the settings. */
public final class TokenStore {
    private final List<AccessToken> mTokens;

    /** Creates a store. */
    public TokenStore(List<AccessToken> tokens) {
        mTokens = List.copyOf(tokens);
    }

    /** Reads {@code admin.tokens}. */
    public static TokenStore from(SettingsSection root) {
        return new TokenStore(
                root.section("admin").sections("tokens").stream().map(AccessToken::from).toList());
    }

    /**
     * Returns the token with this text, if there is one. The comparison takes the same time for any
     * text, so that timing reveals nothing about the tokens.
     */
    public Optional<AccessToken> find(String text) {
        byte[] hash = Digest.of(text.getBytes(StandardCharsets.UTF_8)).bytes();
        Optional<AccessToken> found = Optional.empty();
        for (AccessToken token : mTokens) {
            if (MessageDigest.isEqual(hash, token.hash().bytes())) {
                found = Optional.of(token);
            }
        }
        return found;
    }
}
