package org.azurearch.standin.backend;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.azurearch.lib.Digest;

/**
 * The answer of a backend server stand-in. It is a pure function of the request, so that a caller
 * can check that it received the complete answer to its own request.
 */
public final class EchoAnswer {
    /** Header with the text that the answer repeats. */
    public static final String NONCE_HEADER = "x-nonce";

    /** Header with the minimum size of the answer, in bytes. */
    public static final String ANSWER_BYTES_HEADER = "x-answer-bytes";

    /** Maximum size of an answer, in bytes. */
    public static final int MAX_BYTES = 1_048_576;

    private static final byte FILLER = 'z';
    private static final byte END = '\n';

    private EchoAnswer() {}

    /**
     * Returns the answer to a request.
     *
     * @param nonce the text to repeat
     * @param body the body of the request
     * @param minBytes the minimum size of the answer, limited to {@link #MAX_BYTES}
     */
    public static byte[] of(String nonce, byte[] body, int minBytes) {
        String head =
                "nonce=" + nonce + " length=" + body.length + " digest=" + Digest.of(body).name();
        byte[] text = head.getBytes(StandardCharsets.US_ASCII);
        int size = Math.min(MAX_BYTES, Math.max(text.length + 1, minBytes));
        byte[] answer = Arrays.copyOf(text, Math.max(size, text.length + 1));
        Arrays.fill(answer, text.length, answer.length - 1, FILLER);
        answer[answer.length - 1] = END;
        return answer;
    }
}
