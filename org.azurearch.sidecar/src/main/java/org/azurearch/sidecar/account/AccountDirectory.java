package org.azurearch.sidecar.account;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The client accounts of one version of the configuration, by key and by name. Immutable. No
 * message or description contains a key.
 */
public final class AccountDirectory {
    /** A directory without accounts, with which callers need no key. */
    public static final AccountDirectory EMPTY = new AccountDirectory(List.of());

    /** The weight of an account without a rate, and of requests without an account. */
    private static final double MEAN_WEIGHT = 1;

    private final List<ClientAccount> mAccounts;
    private final Map<String, ClientAccount> mByKey = new HashMap<>();
    private final Map<String, ClientAccount> mByName = new HashMap<>();
    private final double mMeanRate;

    /**
     * Creates a directory.
     *
     * @param accounts the accounts
     * @throws IllegalArgumentException if two accounts have the same name or share a key
     */
    public AccountDirectory(List<ClientAccount> accounts) {
        mAccounts = List.copyOf(accounts);
        for (ClientAccount account : mAccounts) {
            if (mByName.put(account.name(), account) != null) {
                throw new IllegalArgumentException("two client accounts named " + account.name());
            }
            account.keys().forEach(key -> addKey(key, account));
        }
        mMeanRate =
                mAccounts.stream()
                        .filter(ClientAccount::limited)
                        .mapToDouble(ClientAccount::ratePerSecond)
                        .average()
                        .orElse(0);
    }

    /** Returns whether there are no accounts, so that callers need no key. */
    public boolean isEmpty() {
        return mAccounts.isEmpty();
    }

    /** Returns all accounts. */
    public List<ClientAccount> accounts() {
        return mAccounts;
    }

    /** Returns the number of keys. */
    public int keyCount() {
        return mByKey.size();
    }

    /** Returns the account that a key identifies, or null if there is none. */
    public @Nullable ClientAccount findByKey(String key) {
        return mByKey.get(key);
    }

    /** Returns the account with a name, or null if there is none. */
    public @Nullable ClientAccount findByName(String name) {
        return mByName.get(name);
    }

    /**
     * Returns the weight of an account relative to others: its rate relative to the mean of all
     * limited accounts.
     */
    public double weight(@Nullable ClientAccount account) {
        return account == null || !account.limited() || mMeanRate <= 0
                ? MEAN_WEIGHT
                : account.ratePerSecond() / mMeanRate;
    }

    /** Returns how many keys of this directory identify no account in a later one. */
    public int withdrawnKeys(AccountDirectory later) {
        Set<String> keys = new HashSet<>(mByKey.keySet());
        keys.removeAll(later.mByKey.keySet());
        return keys.size();
    }

    private void addKey(String key, ClientAccount account) {
        if (key.isEmpty()) {
            return; // an empty header must not identify an account
        }
        ClientAccount other = mByKey.put(key, account);
        if (other != null && other != account) {
            throw new IllegalArgumentException(
                    "client accounts " + other.name() + " and " + account.name() + " share a key");
        }
    }
}
